#include "catkintack/net/http_fetch.hpp"

#include "catkintack/base/hooks.hpp"

namespace catkintack::net {

fetch_result fetch(const fetch_options& options) {
  fetch_result result;
  const auto connection = http_connection::connect(options.where, options.connect_timeout);
  if (!connection) {
    return result;
  }
  std::string wire = options.method + " " + options.target +
                     " HTTP/1.1\r\nHost: " + base::to_string(options.where) +
                     "\r\nConnection: close\r\n";
  if (!options.content_type.empty()) {
    wire += "Content-Type: " + options.content_type +
            "\r\nContent-Length: " + std::to_string(options.body.size()) + "\r\n";
  }
  wire += "\r\n" + options.body;
  const base::clock_hook clock = base::system_clock_hook();
  const http_limits limits{clock, clock() + options.timeout, options.max_body_bytes, {}, {}};
  result.status = connection->exchange(wire, options.method != "HEAD", limits, result.response);
  return result;
}

const char* to_text(http_exchange_status status) {
  switch (status) {
    case http_exchange_status::complete:
      return "complete";
    case http_exchange_status::not_sent:
      return "no connection";
    case http_exchange_status::timed_out:
      return "timed out";
    case http_exchange_status::broken:
      return "no valid answer";
  }
  return "";
}

}  // namespace catkintack::net
