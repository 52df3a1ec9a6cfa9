/// @file
/// What a caller is told.
#pragma once

#include <optional>

#include "catkintack/serving/exchange.hpp"
#include "catkintack/serving/message_text.hpp"

namespace catkintack::serving {

/// @brief The end of a call: an upstream's answer, one of this host's own, or none.
struct call_result {
  std::optional<exchange_result> upstream_answer;
  std::optional<own_answer> own;  ///< Neither is set when the caller left.
  base::upstream_id upstream;     ///< Who gave the answer.
};

}  // namespace catkintack::serving
