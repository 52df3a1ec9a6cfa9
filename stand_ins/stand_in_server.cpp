#include "stand_in_server.hpp"

#include <httplib.h>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "catkintack/daemon/http_listener.hpp"

namespace catkintack::stand_ins {
namespace {

constexpr std::uint32_t max_connections = 512;
constexpr int exit_usage = 2;

}  // namespace

int serve(const base::address& address,
          const std::function<void(httplib::Server&)>& add_routes,
          const std::function<void()>& on_stop) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  daemon::http_listener_options options;
  options.where = address;
  options.max_connections = max_connections;
  options.max_body_bytes = std::uint64_t{64} << 20U;
  options.idle_timeout = std::chrono::seconds(1);
  auto listener = daemon::http_listener::open(options, add_routes);
  if (!listener) {
    std::cerr << "cannot listen on TCP address " << base::to_string(address) << "\n";
    return EXIT_FAILURE;
  }
  int received = 0;
  sigwait(&signals, &received);
  on_stop();
  return EXIT_SUCCESS;
}

base::address address_argument(int argc, char** argv, const std::string& usage) {
  const auto address = argc > 1 ? base::parse_address(argv[1]) : std::nullopt;
  if (!address) {
    std::cerr << "usage: " << argv[0] << " " << usage << "\n";
    std::exit(exit_usage);
  }
  return *address;
}

std::uint64_t number_parameter(const httplib::Request& request,
                               const std::string& name,
                               std::uint64_t fallback) {
  if (!request.has_param(name)) {
    return fallback;
  }
  const std::string text = request.get_param_value(name);
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  return error == std::errc{} && rest == end ? number : fallback;
}

void truncate_response(httplib::Response& response) {
  response.set_content_provider(1, "text/plain",
                                [](size_t, size_t, httplib::DataSink&) { return false; });
}

}  // namespace catkintack::stand_ins
