/// @file
/// Detects that this host reaches no upstream at all.
#pragma once

#include <algorithm>
#include <cstddef>
#include <set>

#include "catkintack/base/ids.hpp"

namespace catkintack::choice {

/// @brief Tells a host without links to the upstreams from upstreams that have failed. Not
/// thread-safe.
///
/// Only new connections count: those that are open may outlive the links for others.
class isolation_detector {
 public:
  /// @brief Records that a new connection to an upstream was established.
  void on_connected() {
    unreachable_.clear();
    isolated_ = false;
  }
  /// @brief Records that no connection to an upstream could be established.
  void on_unreachable(const base::upstream_id& id) { unreachable_.insert(id); }
  /// @brief Records the result of a check in which no upstream could be reached.
  void on_check_failed() { isolated_ = true; }

  /// @brief Whether enough upstreams in a row were unreachable to check whether any is.
  /// @param known Number of upstreams that this host knows.
  bool suspected(std::size_t known) const {
    constexpr std::size_t enough = 3;
    return known > 0 && unreachable_.size() >= std::min(known, enough);
  }
  /// @brief Whether this host reaches no upstream, as far as it knows.
  bool isolated() const { return isolated_; }
  /// @brief Whether an upstream was unreachable since the last new connection.
  bool is_unreachable(const base::upstream_id& id) const { return unreachable_.contains(id); }

 private:
  std::set<base::upstream_id> unreachable_;
  bool isolated_ = false;
};

}  // namespace catkintack::choice
