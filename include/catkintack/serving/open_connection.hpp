/// @file
/// Opens connections to upstreams and keeps account of whether this host reaches them.
#pragma once

#include <memory>

#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief Opens a connection to an upstream.
/// @param where Address of the upstream.
/// @param limit Time limit for establishing the connection.
/// @return The connection, or null.
asio::awaitable<std::unique_ptr<upstream_connection>> open_connection(
    traffic_state& state,
    asio::any_io_executor executor,
    base::address where,
    base::upstream_id id,
    base::duration limit);

}  // namespace catkintack::serving
