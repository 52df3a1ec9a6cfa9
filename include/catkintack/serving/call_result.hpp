/// @file
/// What a caller is told.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "catkintack/serving/exchange.hpp"
#include "catkintack/serving/http_message.hpp"

namespace catkintack::serving {

/// @brief How the last attempt of a call was decided, for the log.
struct call_account {
  std::uint32_t attempts = 0;  ///< Sends to upstreams.
  unsigned rounds = 0;         ///< Rounds of probes before the last decision.
  base::duration held{};       ///< From arrival to the last send or the refusal.
  base::duration expected{};   ///< What the last decision expected the answer to take.
  std::string considered;      ///< Candidates of the last decision with their readings.
};

/// @brief The end of a call: an upstream's answer, one of this host's own, or none.
struct call_result {
  std::optional<exchange_result> upstream_answer;
  std::optional<own_answer> own;  ///< Neither is set when the caller left.
  base::upstream_id upstream;     ///< Who gave the answer.
  call_account account;
};

}  // namespace catkintack::serving
