/// @file
/// Kinds of events that record a violated guarantee.
#pragma once

#include <string_view>

namespace catkintack::base::breach {

/// A planned stop ended while calls were still open. The field "calls" has their number.
inline constexpr std::string_view calls_cut = "breach_calls_cut";
/// A request was sent to an upstream that was known to be leaving. The field "upstream" names it.
inline constexpr std::string_view leaving_got_work = "breach_leaving_got_work";
/// A non-idempotent request was retried although it may have been executed. The field "attempt"
/// has the number of the attempt.
inline constexpr std::string_view sent_twice = "breach_sent_twice";

}  // namespace catkintack::base::breach

namespace catkintack::base {

/// @brief Returns whether an event of this kind records a violated guarantee: its name begins with
/// "breach_".
constexpr bool is_breach(std::string_view kind) { return kind.starts_with("breach_"); }

}  // namespace catkintack::base
