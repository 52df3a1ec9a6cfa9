/// @file
/// Fetches the events of all hosts, filters them, and prints or draws them in causal order.
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

/// @brief Error of the time line.
struct timeline_error {
  std::string message;
};

/// @brief Access to the hosts and to time; tests replace it.
struct timeline_hooks {
  /// Returns the hosts to query.
  std::function<boost::leaf::result<std::vector<membership::gateway_record>>()> hosts;
  /// Returns a host's events after a sequence number of an incarnation; empty when unreachable.
  std::function<std::vector<base::event_record>(const membership::gateway_record& host,
                                                base::incarnation run,
                                                std::uint64_t since)>
      events;
  /// Waits before the next round of `--follow`; returns false to end it.
  std::function<bool()> wait;
};

/// @brief Tells whether an event matches all filters that are set.
bool matches(const timeline_options& options, const base::event_record& record);

/// @brief Sorts events of several hosts so that causes precede effects.
/// @return The events ordered by hybrid logical clock, host, incarnation and sequence number.
std::vector<base::event_record> merge_events(std::vector<base::event_record> events);

/// @brief Creates hooks that query the host list and the hosts over HTTP.
/// @param host_list Address of the host list server.
/// @return The hooks; `wait` sleeps and always returns true.
timeline_hooks http_timeline_hooks(const base::address& host_list);

/// @brief Prints the time line, or draws it into options.svg_path.
/// @param out Receives the text; unused when drawing.
/// @return Nothing, a timeline_error, or an error of the host list.
boost::leaf::result<void> write_timeline(const timeline_options& options,
                                         const timeline_hooks& hooks,
                                         std::ostream& out);

/// @brief Runs `catkintack timeline`, which prints one event per line.
/// @return The exit code, a timeline_error, or an error of the host list.
boost::leaf::result<exit_code> run_timeline(const command_line& line, std::ostream& out);

}  // namespace catkintack::cli
