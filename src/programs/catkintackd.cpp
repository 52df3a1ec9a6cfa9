/// @file
/// Daemon of a gateway host: catkintackd [--check] SETTINGS.
#include <popt.h>
#include <csignal>

#include <cstdio>
#include <iostream>
#include <memory>
#include <string>

#include "catkintack/base/hooks.hpp"
#include "catkintack/daemon/daemon.hpp"
#include "catkintack/daemon/settings.hpp"
#include "catkintack/logging/log.hpp"

namespace {

namespace leaf = boost::leaf;
using catkintack::base::incarnation;
using catkintack::daemon::daemon;
using catkintack::daemon::daemon_error;
using catkintack::daemon::settings;
using catkintack::daemon::settings_error;

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_stop_limit_reached = 3;  // The stop limit was reached with calls in progress.

incarnation new_incarnation() {
  const auto wall = catkintack::base::system_wall_clock_hook()();
  return incarnation(static_cast<std::uint64_t>(wall.time_since_epoch().count()));
}

sigset_t handled_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

void wait_for_stop_signal(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
  while (received == SIGHUP) {
    catkintack::logging::log(catkintack::logging::log_level::info, "daemon",
                             "SIGHUP: nothing is reloaded; settings are read at the start only.");
    sigwait(&signals, &received);
  }
}

leaf::result<int> run(const std::string& path, bool check_only) {
  BOOST_LEAF_AUTO(read, catkintack::daemon::read_settings(path));
  if (check_only) {
    std::cout << path << ": settings are valid\n";
    return exit_ok;
  }
  const incarnation run = new_incarnation();
  catkintack::logging::configure_log(read.level, read.host, run);
  const sigset_t signals = handled_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  BOOST_LEAF_AUTO(started, daemon::start(read, run));
  wait_for_stop_signal(signals);
  return started->stop() == 0 ? exit_ok : exit_stop_limit_reached;
}

int report(const std::string& message, int code) {
  std::cerr << "catkintackd: " << message << "\n";
  return code;
}

}  // namespace

int main(int argc, const char** argv) {
  int check_only = 0;
  int show_version = 0;
  const poptOption options[] = {
      {"check", '\0', POPT_ARG_NONE, &check_only, 0, "Check the settings and exit", nullptr},
      {"version", '\0', POPT_ARG_NONE, &show_version, 0, "Show the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("catkintackd", argc, argv, options, 0), &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "SETTINGS");
  const int parsed = poptGetNextOpt(context.get());
  if (parsed < -1) {
    return report(std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(parsed),
                  exit_usage);
  }
  if (show_version != 0) {
    std::cout << "catkintackd " << CATKINTACK_VERSION << "\n";
    return exit_ok;
  }
  const char* const path = poptGetArg(context.get());
  if (path == nullptr || poptPeekArg(context.get()) != nullptr) {
    return report("expected exactly one settings file; try catkintackd --help", exit_usage);
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> { return run(path, check_only != 0); },
      [](const settings_error& error) { return report(error.message, exit_usage); },
      [](const daemon_error& error) { return report(error.message, exit_failed); },
      [] { return report("failed to start", exit_failed); });
}
