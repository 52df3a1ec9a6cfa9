/// @file
/// What the decision core wants done.
#pragma once

#include <cstdint>
#include <variant>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/delivery/final_response.hpp"
#include "catkintack/limits/demand_report.hpp"
#include "catkintack/routing/upstream_record.hpp"

namespace catkintack::gateway {

/// @brief Send the call's request to an upstream; report the end with attempt_ended.
struct send_attempt {
  base::call_id call;
  base::attempt_number attempt;
  routing::upstream_record target;
  base::instant deadline{};          ///< Give up then; never send later than this.
  std::uint32_t depth = 0;           ///< Gateways that the call crossed, this one included.
  std::uint32_t retries_left = 0;    ///< Extra attempts that the levels below may make.
  base::duration silence_timeout{};  ///< An old connection without a byte for so long may be dead.
};

/// @brief Cancel an attempt in flight; its end is still reported.
struct cancel_attempt {
  base::call_id call;
  base::attempt_number attempt;
};

/// @brief Give the caller its final answer at once.
struct finish_call {
  base::call_id call;
  delivery::final_response response;
};

/// @brief Send the call on to the host that its id belongs to; report the end with forward_ended.
struct forward_call {
  base::call_id call;
  base::host_id host;
  base::instant deadline{};  ///< Give up then.
};

/// @brief Tell all peers this host's demand of the allowances.
struct publish_demand {
  limits::demand_report report;
};

/// @brief Ask an upstream for its load; report the end with probe_ended.
struct send_probe {
  routing::upstream_record target;
  base::instant deadline{};  ///< Give up then.
};

/// Anything that the decision core wants done.
using gateway_action = std::
    variant<send_attempt, cancel_attempt, finish_call, forward_call, publish_demand, send_probe>;

}  // namespace catkintack::gateway
