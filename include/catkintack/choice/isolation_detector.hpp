/// @file
/// Detects that this host reaches no upstream at all.
#pragma once

#include <cstddef>
#include <set>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

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
    reaches_some_ = true;
  }
  /// @brief Records that no connection to an upstream could be established.
  void on_unreachable(const base::upstream_id& id) { unreachable_.insert(id); }
  /// @brief Records the result of trying several upstreams at once. If none is reached, the host is
  /// isolated; it stays so until at least half are, as a host that reaches few of them is of as
  /// little use.
  /// @param connected Number of the upstreams that were reached.
  /// @param tried Number of the upstreams that were tried, at least 1.
  void on_check(std::size_t connected, std::size_t tried, base::instant now);

  /// @brief Whether enough upstreams in a row were unreachable to check whether any is.
  /// @param known Number of upstreams that this host knows.
  bool suspected(std::size_t known) const;
  /// @brief Whether this host reaches no upstream, or too few, as far as it knows.
  bool isolated() const { return isolated_; }
  /// @brief Whether an isolated host seeks an upstream for a call that no other host takes: always
  /// if it reached one lately, else for one call now and then. A check tries only a few upstreams,
  /// and may miss the last ones that are left.
  bool may_search(base::instant now);
  /// @brief Time at which the isolation was found, if isolated().
  base::instant isolated_since() const { return isolated_since_; }
  /// @brief Whether an upstream was unreachable since the last new connection.
  bool is_unreachable(const base::upstream_id& id) const { return unreachable_.contains(id); }

 private:
  std::set<base::upstream_id> unreachable_;
  bool isolated_ = false;
  bool reaches_some_ = true;  ///< An upstream was reached in the last check, or since.
  base::instant searched_at_ = base::instant::min();
  base::instant isolated_since_;
};

}  // namespace catkintack::choice
