/// @file
/// The operators' command line: catkintack [OPTION...] COMMAND [WORD...].
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
    "Exit codes: 0 done, 1 refused or failed, 2 usage, 3 conflict, 4 unknown, 5 not yet in force\n";

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

catkintack::cli::timeline_options timeline_of(const raw_options& raw) {
  catkintack::cli::timeline_options options;
  options.request = raw.request;
  options.host = raw.host;
  options.part = raw.part;
  options.svg_path = raw.svg;
  options.breaches_only = raw.breaches != 0;
  options.follow = raw.follow != 0;
  return options;
}

std::optional<unsigned> count_option(int value) {
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
    return report("--burst and --concurrent take numbers of 1 or more");
  }
  line.store = *store;
  line.host_list = *host_list;
  line.key = raw.key;
  line.json = raw.json != 0;
  line.reference = raw.reference != 0;
  line.timeline = timeline_of(raw);
  line.yes = raw.yes != 0;
  line.operator_name = operator_name(raw);
  line.wait = std::chrono::microseconds(static_cast<std::int64_t>(raw.wait_seconds * 1e6));
  if (raw.rate != unset) {
    line.rate_per_second = raw.rate;
  }
  line.burst = count_option(raw.burst);
  line.max_concurrent = count_option(raw.concurrent);
  return static_cast<int>(catkintack::cli::run_command(line, std::cout, std::cerr));
}

}  // namespace

int main(int argc, const char** argv) {
  raw_options raw;
  const poptOption table[] = {
      {"store", '\0', POPT_ARG_STRING, &raw.store, 0, "The store's address", "IP:PORT"},
      {"host-list", '\0', POPT_ARG_STRING, &raw.host_list, 0, "The host list's address", "IP:PORT"},
      {"key", '\0', POPT_ARG_STRING, &raw.key, 0, "A customer's key, for plans set", "KEY"},
      {"rate", '\0', POPT_ARG_DOUBLE, &raw.rate, 0, "Requests per second", "R"},
      {"burst", '\0', POPT_ARG_INT, &raw.burst, 0, "Requests at once above the rate", "B"},
      {"concurrent", '\0', POPT_ARG_INT, &raw.concurrent, 0, "Requests in progress", "C"},
      {"request", '\0', POPT_ARG_STRING, &raw.request, 0, "timeline: one request", "ID"},
      {"host", '\0', POPT_ARG_STRING, &raw.host, 0, "timeline: one host", "HOST"},
      {"part", '\0', POPT_ARG_STRING, &raw.part, 0, "timeline: one module", "PART"},
      {"breaches", '\0', POPT_ARG_NONE, &raw.breaches, 0, "timeline: broken promises", nullptr},
      {"follow", '\0', POPT_ARG_NONE, &raw.follow, 0, "timeline: keep going", nullptr},
      {"svg", '\0', POPT_ARG_STRING, &raw.svg, 0, "timeline: draw into FILE", "FILE"},
      {"reference", '\0', POPT_ARG_NONE, &raw.reference, 0, "check-settings: all keys", nullptr},
      {"operator", '\0', POPT_ARG_STRING, &raw.operator_name, 0,
       "Your name for the history (default: $USER)", "NAME"},
      {"wait", '\0', POPT_ARG_DOUBLE, &raw.wait_seconds, 0,
       "Longest wait for an edit to be in force (7); 0 not to wait", "SECONDS"},
      {"yes", 'y', POPT_ARG_NONE, &raw.yes, 0, "Apply without asking", nullptr},
      {"json", '\0', POPT_ARG_NONE, &raw.json, 0, "Write JSON", nullptr},
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
    line.words.emplace_back(word);
  }
  return run(raw, std::move(line));
}
