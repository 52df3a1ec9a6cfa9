/// @file
/// What the decision core wants done.
#pragma once

#include <variant>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/delivery/final_answer.hpp"
#include "catkintack/routing/upstream_record.hpp"

namespace catkintack::gateway {

/// @brief Send the call's request to an upstream; report the end with attempt_ended.
struct send_attempt {
  base::call_id call;
  base::attempt_number attempt;
  routing::upstream_record target;
  base::instant deadline{};  ///< Give up then; never send later than this.
};

/// @brief Cancel an attempt in flight; its end is still reported.
struct cancel_attempt {
  base::call_id call;
  base::attempt_number attempt;
};

/// @brief Give the caller its final answer at once.
struct finish_call {
  base::call_id call;
  delivery::final_answer end;
};

/// @brief Send the call on to the host that its id belongs to; report the end with forward_ended.
struct forward_call {
  base::call_id call;
  base::host_id host;
  base::instant deadline{};  ///< Give up then.
};

/// Anything that the decision core wants done.
using gateway_action = std::variant<send_attempt, cancel_attempt, finish_call, forward_call>;

}  // namespace catkintack::gateway
