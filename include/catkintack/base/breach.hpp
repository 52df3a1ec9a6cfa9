/// @file
/// The kinds of events that record a broken promise.
#pragma once

#include <string_view>

namespace catkintack::base::breach {

/// A planned stop ended with calls still open; field "calls".
inline constexpr std::string_view calls_cut = "breach_calls_cut";
/// New work went to an upstream known to be leaving; field "upstream".
inline constexpr std::string_view leaving_got_work = "breach_leaving_got_work";
/// A non-idempotent request was sent again although it may have run; field "attempt".
inline constexpr std::string_view sent_twice = "breach_sent_twice";

}  // namespace catkintack::base::breach

namespace catkintack::base {

/// @brief Whether an event records a broken promise.
/// @param kind The event's kind.
/// @return True for kinds that begin with "breach_".
constexpr bool is_breach(std::string_view kind) { return kind.starts_with("breach_"); }

}  // namespace catkintack::base
