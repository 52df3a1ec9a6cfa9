/// @file
/// Actions requested by the decision core.
#pragma once

#include <cstdint>
#include <variant>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/delivery/final_response.hpp"
#include "catkintack/limits/demand_report.hpp"
#include "catkintack/routing/upstream_record.hpp"

namespace catkintack::gateway {

/// @brief Send the call's request to an upstream and report the result with attempt_ended.
struct send_attempt {
  base::call_id call;
  base::attempt_number attempt;
  routing::upstream_record target;
  base::instant deadline{};        ///< Abandon the attempt then; never send later than this.
  std::uint32_t depth = 0;         ///< Gateways that the call has crossed, including this one.
  std::uint32_t retries_left = 0;  ///< Extra attempts allowed to the levels below.
  /// A reused connection without a byte for this long may be dead.
  base::duration silence_timeout{};
};

/// @brief Cancel an attempt in flight; its result is still reported.
struct cancel_attempt {
  base::call_id call;
  base::attempt_number attempt;
};

/// @brief Send the final response to the caller at once.
struct finish_call {
  base::call_id call;
  delivery::final_response response;
};

/// @brief Forward the call to the host that owns its id and report the result with forward_ended.
struct forward_call {
  base::call_id call;
  base::host_id host;
  base::instant deadline{};  ///< Abandon the forwarding then.
};

/// @brief Send this host's demand on the allowances to all peers.
struct publish_demand {
  limits::demand_report report;
};

/// @brief Request an upstream's load and report the result with probe_ended.
struct send_probe {
  routing::upstream_record target;
  base::instant deadline{};  ///< Abandon the probe then.
};

/// Any action requested by the decision core.
using gateway_action = std::
    variant<send_attempt, cancel_attempt, finish_call, forward_call, publish_demand, send_probe>;

}  // namespace catkintack::gateway
