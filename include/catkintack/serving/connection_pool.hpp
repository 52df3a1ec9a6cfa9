/// @file
/// Pool of idle connections to upstreams.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "catkintack/serving/upstream_connection.hpp"

namespace catkintack::serving {

/// @brief Keeps idle connections for reuse, most recently used first.
class connection_pool {
 public:
  /// @param max_idle_per_upstream Maximum number of idle connections per upstream.
  /// @param max_idle_time Connections that have been idle for longer are closed.
  connection_pool(std::size_t max_idle_per_upstream, base::duration max_idle_time)
      : max_idle_per_upstream_(max_idle_per_upstream), max_idle_time_(max_idle_time) {}

  /// @brief Takes an idle connection that is still reusable.
  /// @return The connection, or null if there is none.
  std::unique_ptr<upstream_connection> take(const base::upstream_id& id, base::instant now);
  /// @brief Returns a connection after a complete exchange; closes it if unread bytes are left.
  void release(std::unique_ptr<upstream_connection> used, base::instant now);
  /// @brief Closes all idle connections to an upstream, for use after its removal.
  void close_all(const base::upstream_id& id) { idle_.erase(id); }
  /// @brief Closes connections that have exceeded their idle timeout.
  void expire(base::instant now);

 private:
  bool idle_too_long(const upstream_connection& one, base::instant now) const;

  std::size_t max_idle_per_upstream_;
  base::duration max_idle_time_;
  std::map<base::upstream_id, std::vector<std::unique_ptr<upstream_connection>>> idle_;
};

}  // namespace catkintack::serving
