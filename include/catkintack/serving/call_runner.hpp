/// @file
/// Runs a call from admission to its final response.
#pragma once

#include <memory>

#include "catkintack/serving/call.hpp"
#include "catkintack/serving/call_result.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief Serves one call: selects an upstream, sends the call and retries where that is safe.
///
/// A call that must not run twice is retried only after the upstream has reported that it did not
/// run.
/// @param state Shared state of the data plane.
/// @param executor Executor of the call's I/O.
/// @param served The call, with its route set.
asio::awaitable<call_result> run_call(traffic_state& state,
                                      asio::any_io_executor executor,
                                      std::shared_ptr<call> served);

}  // namespace catkintack::serving
