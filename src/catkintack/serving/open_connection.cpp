#include "catkintack/serving/open_connection.hpp"

#include <utility>

namespace catkintack::serving {

asio::awaitable<std::unique_ptr<upstream_connection>> open_connection(
    traffic_state& state,
    asio::any_io_executor executor,
    base::address where,
    base::upstream_id id,
    base::duration limit) {
  state.metrics.add("upstream_connections_total");
  auto [connection, error] = co_await connect_upstream(executor, std::move(where), id, limit);
  const bool was_isolated = state.isolation.isolated();
  if (connection) {
    state.isolation.on_connected();
  } else {
    state.isolation.on_unreachable(id);
  }
  const bool news = !connection || was_isolated;
  if (news && state.on_reachability_changed) {
    state.on_reachability_changed();
  }
  co_return std::move(connection);
}

}  // namespace catkintack::serving
