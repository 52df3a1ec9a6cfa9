/// @file
/// Takes a call from admission to its final answer.
#pragma once

#include <memory>

#include "catkintack/serving/call.hpp"
#include "catkintack/serving/call_result.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief Serves one call: chooses an upstream, sends, and repeats where that is allowed.
///
/// A call that may not run twice is sent again only after an upstream's word that it did not run.
/// @param state The traffic side.
/// @param executor Where it runs.
/// @param served The call, with its route.
asio::awaitable<call_result> run_call(traffic_state& state,
                                      asio::any_io_executor executor,
                                      std::shared_ptr<call> served);

}  // namespace catkintack::serving
