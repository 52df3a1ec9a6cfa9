/// @file
/// Sends calls to other hosts that serve them in the place of this one.
#pragma once

#include <memory>

#include "catkintack/serving/call.hpp"
#include "catkintack/serving/call_result.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief Outcome of a relayed call.
struct relay_result {
  call_result result;  ///< The final result; a refusal if no host took the call.
  bool taken = false;  ///< Whether a host took the call, or its caller left.
};

/// @brief Has a call served by another host, while this one reaches no upstream.
///
/// The other host treats the call like one of its own callers, but never relays it further. At most
/// one host is sent the call, unless a host states that it did not run it.
/// @param may_have_run Whether the call may have run in an earlier attempt, so that this host must
/// not promise otherwise.
asio::awaitable<relay_result> relay_call(traffic_state& state,
                                         asio::any_io_executor executor,
                                         std::shared_ptr<call> served,
                                         bool may_have_run);

}  // namespace catkintack::serving
