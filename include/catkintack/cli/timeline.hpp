/// @file
/// The time line of all hosts: fetched, filtered, merged in causal order, drawn.
#pragma once

#include <boost/leaf.hpp>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/base/event_record.hpp"
#include "catkintack/cli/command.hpp"
#include "catkintack/cli/timeline_options.hpp"
#include "catkintack/membership/gateway_record.hpp"

namespace catkintack::cli {

/// @brief Why no time line was written.
struct timeline_error {
  std::string message;
};

/// @brief What `catkintack timeline` needs from outside.
struct timeline_hooks {
  /// The hosts to ask.
  std::function<boost::leaf::result<std::vector<membership::gateway_record>>()> hosts;
  /// One host's events after those already seen of an incarnation; nothing when out of reach.
  std::function<std::vector<base::event_record>(const membership::gateway_record& host,
                                                base::incarnation run,
                                                std::uint64_t since)>
      events;
  /// Waits between two rounds of `--follow`; false ends it.
  std::function<bool()> wait;
};

/// @brief Whether an event passes the filters.
/// @param options The filters.
/// @param record The event.
/// @return True when every filter that is set matches.
bool matches(const timeline_options& options, const base::event_record& record);

/// @brief Sorts events of several hosts so that causes come before effects.
/// @param events Events of any hosts, in any order.
/// @return The events by hybrid clock, then host, incarnation and sequence.
std::vector<base::event_record> merge_events(std::vector<base::event_record> events);

/// @brief Hooks that ask the host list and every host over HTTP.
/// @param host_list The host list's address.
/// @return The hooks; `wait` sleeps between rounds and never ends.
timeline_hooks http_timeline_hooks(const base::address& host_list);

/// @brief Writes the time line.
/// @param options Filters and form.
/// @param hooks Where events come from.
/// @param out Takes the text; the picture goes to the file that the options name.
/// @return Nothing, a timeline_error, or an error of the host list.
boost::leaf::result<void> write_timeline(const timeline_options& options,
                                         const timeline_hooks& hooks,
                                         std::ostream& out);

/// @brief Runs `catkintack timeline` against the hosts of a host list.
/// @param line The command line.
/// @param out Takes the events, one a line.
/// @return The exit code, or an error of the layers below.
boost::leaf::result<exit_code> run_timeline(const command_line& line, std::ostream& out);

}  // namespace catkintack::cli
