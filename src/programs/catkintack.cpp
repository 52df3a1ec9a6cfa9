/// @file
/// Command line tool for operators: catkintack [OPTION...] COMMAND [ARGUMENT...].
#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include "catkintack/cli/command.hpp"

namespace {

using catkintack::cli::command_line;
using catkintack::cli::exit_code;

int report(const std::string& message) {
  std::cerr << "catkintack: " << message << "; try catkintack --help\n";
  return static_cast<int>(exit_code::usage);
}

constexpr int unset = -1;

constexpr const char* other_help =
    "[OPTION...] COMMAND\n\n"
    "Commands:\n"
    "  plans list | show CUSTOMER | set CUSTOMER PLAN | remove CUSTOMER\n"
    "  allowances list | show PLAN SERVICE | set PLAN SERVICE | remove PLAN SERVICE\n"
    "  plans|allowances apply FILE | history | rollback VERSION | recover\n"
    "  status\n"
    "  timeline\n"
    "  check-settings FILE\n\n"
    "Exit codes: 0 done, 1 rejected or failed, 2 usage, 3 conflict, 4 unknown, 5 not yet in "
    "force\n";

struct raw_options {
  const char* store = "127.0.0.1:9001";
  const char* host_list = "127.0.0.1:9002";
  const char* key = "";
  const char* operator_name = "";
  int json = 0;
  int yes = 0;
  int version = 0;
  double wait_seconds = 7;
  double rate = unset;
  int burst = unset;
  int concurrent = unset;
  const char* request = "";
  const char* host = "";
  const char* part = "";
  const char* svg = "";
  int breaches = 0;
  int follow = 0;
  int reference = 0;
};

catkintack::cli::timeline_options make_timeline_options(const raw_options& raw) {
  catkintack::cli::timeline_options options;
  options.request = raw.request;
  options.host = raw.host;
  options.part = raw.part;
  options.svg_path = raw.svg;
  options.breaches_only = raw.breaches != 0;
  options.follow = raw.follow != 0;
  return options;
}

std::optional<unsigned> to_optional_count(int value) {
  return value == unset ? std::nullopt : std::optional<unsigned>(static_cast<unsigned>(value));
}

std::string operator_name(const raw_options& raw) {
  if (*raw.operator_name != '\0') {
    return raw.operator_name;
  }
  const char* const user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

int run(const raw_options& raw, command_line line) {
  const auto store = catkintack::base::parse_address(raw.store);
  const auto host_list = catkintack::base::parse_address(raw.host_list);
  if (!store || !host_list) {
    return report("--store and --host-list take IP:PORT");
  }
  if (raw.burst < unset || raw.concurrent < unset) {
    return report("--burst and --concurrent take integers of at least 1");
  }
  line.store = *store;
  line.host_list = *host_list;
  line.key = raw.key;
  line.json = raw.json != 0;
  line.reference = raw.reference != 0;
  line.timeline = make_timeline_options(raw);
  line.yes = raw.yes != 0;
  line.operator_name = operator_name(raw);
  line.wait = std::chrono::microseconds(static_cast<std::int64_t>(raw.wait_seconds * 1e6));
  if (raw.rate != unset) {
    line.rate_per_second = raw.rate;
  }
  line.burst = to_optional_count(raw.burst);
  line.max_concurrent = to_optional_count(raw.concurrent);
  return static_cast<int>(catkintack::cli::run_command(line, std::cout, std::cerr));
}

}  // namespace

int main(int argc, const char** argv) {
  raw_options raw;
  const poptOption table[] = {
      {"store", '\0', POPT_ARG_STRING, &raw.store, 0, "Address of the store", "IP:PORT"},
      {"host-list", '\0', POPT_ARG_STRING, &raw.host_list, 0, "Address of the host list server",
       "IP:PORT"},
      {"key", '\0', POPT_ARG_STRING, &raw.key, 0, "plans set: API key of the customer", "KEY"},
      {"rate", '\0', POPT_ARG_DOUBLE, &raw.rate, 0, "Requests per second", "R"},
      {"burst", '\0', POPT_ARG_INT, &raw.burst, 0, "Requests allowed at once above the rate", "B"},
      {"concurrent", '\0', POPT_ARG_INT, &raw.concurrent, 0,
       "Maximum number of concurrent requests", "C"},
      {"request", '\0', POPT_ARG_STRING, &raw.request, 0, "timeline: only this request", "ID"},
      {"host", '\0', POPT_ARG_STRING, &raw.host, 0, "timeline: only this host", "HOST"},
      {"part", '\0', POPT_ARG_STRING, &raw.part, 0, "timeline: only this module", "PART"},
      {"breaches", '\0', POPT_ARG_NONE, &raw.breaches, 0, "timeline: only breaches", nullptr},
      {"follow", '\0', POPT_ARG_NONE, &raw.follow, 0, "timeline: continue with new events",
       nullptr},
      {"svg", '\0', POPT_ARG_STRING, &raw.svg, 0, "timeline: draw into an SVG file", "FILE"},
      {"reference", '\0', POPT_ARG_NONE, &raw.reference, 0, "check-settings: describe all settings",
       nullptr},
      {"operator", '\0', POPT_ARG_STRING, &raw.operator_name, 0,
       "Name recorded in the history (default: $USER)", "NAME"},
      {"wait", '\0', POPT_ARG_DOUBLE, &raw.wait_seconds, 0,
       "Maximum wait until an edit is in force (default: 7; 0: no wait)", "SECONDS"},
      {"yes", 'y', POPT_ARG_NONE, &raw.yes, 0, "Apply without confirmation", nullptr},
      {"json", '\0', POPT_ARG_NONE, &raw.json, 0, "Print JSON", nullptr},
      {"version", '\0', POPT_ARG_NONE, &raw.version, 0, "Show the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("catkintack", argc, argv, table, 0), &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), other_help);
  const int parsed = poptGetNextOpt(context.get());
  if (parsed < -1) {
    return report(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(parsed));
  }
  if (raw.version != 0) {
    std::cout << "catkintack " << CATKINTACK_VERSION << "\n";
    return static_cast<int>(exit_code::ok);
  }
  command_line line;
  while (const char* word = poptGetArg(context.get())) {
    line.arguments.emplace_back(word);
  }
  return run(raw, std::move(line));
}
