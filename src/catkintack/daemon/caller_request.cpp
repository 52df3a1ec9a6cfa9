#include "caller_request.hpp"

#include <httplib.h>
#include <strings.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <string_view>

#include "catkintack/config/key_hash.hpp"
#include "catkintack/daemon/header_masking.hpp"
#include "catkintack/net/header_rules.hpp"
#include "catkintack/net/headers.hpp"

namespace catkintack::daemon {
namespace {

namespace headers = net::headers;

constexpr std::size_t max_request_id_length = 128;
constexpr std::uint64_t max_time_left_ms = 300'000;

/// The service that a request target names, and the target that is sent to the upstream.
struct service_target {
  base::service_id service;
  std::string target;
};

service_target split_target(const std::string& target) {
  const auto end = target.find_first_of("/?", 1);
  if (end == std::string::npos) {
    return {base::service_id(target.substr(1)), "/"};
  }
  const std::string rest = target.substr(end);
  return {base::service_id(target.substr(1, end - 1)), rest[0] == '/' ? rest : "/" + rest};
}

/// Whether a header concerns only the caller's connection or was added by cpp-httplib.
bool is_connection_header(const std::string& name) {
  static constexpr const char* names[] = {"host",        "expect",     "remote_addr",
                                          "remote_port", "local_addr", "local_port"};
  return std::any_of(std::begin(names), std::end(names), [&name](const char* candidate) {
    return strcasecmp(name.c_str(), candidate) == 0;
  });
}

/// Whether this host replaces or removes a caller's header.
bool is_replaced_header(const std::string& name) {
  static constexpr const char* names[] = {headers::api_key, headers::time_left, headers::depth,
                                          headers::retries_left};
  return std::any_of(std::begin(names), std::end(names), [&name](const char* candidate) {
    return strcasecmp(name.c_str(), candidate) == 0;
  });
}

bool is_idempotent_method(const std::string& method) {
  static constexpr const char* methods[] = {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
  return std::find(std::begin(methods), std::end(methods), method) != std::end(methods);
}

/// Hash of the method, target and body, which must be equal in all requests with the same id.
std::uint64_t fingerprint_of(const httplib::Request& request) {
  const std::string head = request.method + " " + request.target + "\n";
  return XXH3_64bits_withSeed(request.body.data(), request.body.size(),
                              XXH3_64bits(head.data(), head.size()));
}

/// cpp-httplib decodes percent-encoding in header values, so a value may contain line breaks.
bool has_line_breaks(const httplib::Request& request) {
  return std::any_of(request.headers.begin(), request.headers.end(), [](const auto& header) {
    return header.second.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
  });
}

/// Reads the time left; returns false when the header is malformed.
bool read_time_left(const httplib::Request& request, gateway::call_arrived& call) {
  if (!request.has_header(headers::time_left)) {
    return true;
  }
  const std::string text = request.get_header_value(headers::time_left);
  std::uint64_t milliseconds = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, milliseconds);
  if (error != std::errc{} || rest != end || milliseconds == 0 || milliseconds > max_time_left_ms) {
    return false;
  }
  call.time_left = std::chrono::milliseconds(milliseconds);
  return true;
}

/// Reads a count; returns false when the header is malformed.
bool read_count(const httplib::Request& request,
                const char* name,
                std::optional<std::uint32_t>& count) {
  if (!request.has_header(name)) {
    return true;
  }
  const std::string text = request.get_header_value(name);
  std::uint32_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  count = value;
  return error == std::errc{} && rest == end;
}

bool is_request_id(const std::string& text) {
  static constexpr const char* allowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return text.size() <= max_request_id_length &&
         text.find_first_not_of(allowed) == std::string::npos;
}

std::string malformed(const char* header) {
  return std::string("header ") + header + " is malformed";
}

}  // namespace

std::optional<std::string> read_call(const httplib::Request& request, gateway::call_arrived& call) {
  if (has_line_breaks(request)) {
    return "a header holds the end of a line";
  }
  const std::string id = request.get_header_value(headers::request_id);
  if (!is_request_id(id)) {
    return malformed(headers::request_id);
  }
  if (!read_time_left(request, call)) {
    return malformed(headers::time_left);
  }
  std::optional<std::uint32_t> depth;
  if (!read_count(request, headers::depth, depth)) {
    return malformed(headers::depth);
  }
  if (!read_count(request, headers::retries_left, call.retries_left)) {
    return malformed(headers::retries_left);
  }
  const std::string key = request.get_header_value(headers::api_key);
  call.depth = depth.value_or(0);
  call.request = base::request_id(id);
  call.fingerprint = fingerprint_of(request);
  call.key_hash = key.empty() ? "" : config::hash_key(key);
  call.service = split_target(request.target).service;
  call.idempotent = is_idempotent_method(request.method);
  return std::nullopt;
}

net::upstream_request to_upstream(const httplib::Request& request) {
  net::upstream_request converted;
  converted.method = request.method;
  converted.target = split_target(request.target).target;
  converted.body = request.body;
  for (const auto& [name, value] : request.headers) {
    if (!net::is_hop_by_hop(name) && !is_connection_header(name) && !is_replaced_header(name)) {
      converted.headers.emplace_back(unmasked_name(name), value);
    }
  }
  return converted;
}

}  // namespace catkintack::daemon
