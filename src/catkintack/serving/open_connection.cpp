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
  if (connection) {
    state.isolation.on_connected();
  } else {
    state.isolation.on_unreachable(id);
    if (state.on_upstream_unreachable) {
      state.on_upstream_unreachable();
    }
  }
  co_return std::move(connection);
}

}  // namespace catkintack::serving
