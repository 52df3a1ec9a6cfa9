/// @file
/// Idle connections to upstreams.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "catkintack/serving/upstream_connection.hpp"

namespace catkintack::serving {

/// @brief Keeps connections for the next exchange; the one used last goes out first.
class connection_pool {
 public:
  /// @param per_upstream Idle connections kept for one upstream.
  /// @param longest_idle Connections idle for longer are closed.
  connection_pool(std::size_t per_upstream, base::duration longest_idle)
      : per_upstream_(per_upstream), longest_idle_(longest_idle) {}

  /// @brief Takes an idle connection that is still quiet.
  /// @return The connection, or null.
  std::unique_ptr<upstream_connection> take(const base::upstream_id& id, base::instant now);
  /// @brief Gives a connection back after a whole exchange; closes it if it has surplus bytes.
  void give_back(std::unique_ptr<upstream_connection> used, base::instant now);
  /// @brief Closes all connections to an upstream that is gone.
  void forget(const base::upstream_id& id) { idle_.erase(id); }
  /// @brief Closes connections that were idle too long.
  void expire(base::instant now);

 private:
  bool too_old(const upstream_connection& one, base::instant now) const;

  std::size_t per_upstream_;
  base::duration longest_idle_;
  std::map<base::upstream_id, std::vector<std::unique_ptr<upstream_connection>>> idle_;
};

}  // namespace catkintack::serving
