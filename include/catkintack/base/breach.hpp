/// @file
/// The kinds of events that record a broken promise.
#pragma once

#include <string_view>

namespace catkintack::base::breach {

/// A planned stop ended with calls still open; field "calls".
inline constexpr std::string_view calls_cut = "breach_calls_cut";
/// A list version below one already in force was offered as newest; fields "list", "version".
inline constexpr std::string_view list_reverted = "breach_list_reverted";
/// An edit was not in force within its limit; fields "list", "version".
inline constexpr std::string_view edit_late = "breach_edit_late";
/// The probes of a window cost more than the budget; fields "spent", "budget".
inline constexpr std::string_view probe_budget = "breach_probe_budget";
/// New work went to an upstream known to be leaving; field "upstream".
inline constexpr std::string_view leaving_got_work = "breach_leaving_got_work";
/// A non-idempotent request was sent again although it may have run; field "attempt".
inline constexpr std::string_view sent_twice = "breach_sent_twice";
/// An answer that belongs to another request, or is not whole, reached the last check.
inline constexpr std::string_view wrong_answer = "breach_wrong_answer";
/// A call told "not run" was found to have run.
inline constexpr std::string_view not_run_but_ran = "breach_not_run_but_ran";

}  // namespace catkintack::base::breach

namespace catkintack::base {

/// @brief Whether an event records a broken promise.
/// @param kind The event's kind.
/// @return True for kinds that begin with "breach_".
constexpr bool is_breach(std::string_view kind) { return kind.starts_with("breach_"); }

}  // namespace catkintack::base
