#include "catkintack/net/upstream_client.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <mutex>
#include <utility>

#include "catkintack/net/header_rules.hpp"
#include "catkintack/net/headers.hpp"
#include "catkintack/net/http_connection.hpp"
#include "catkintack/net/load_header.hpp"

namespace catkintack::net {
namespace {

using routing::attempt_result;

constexpr int status_unavailable = 503;

/// Shared because another thread may cancel an exchange while it ends.
using connection = std::shared_ptr<http_connection>;

void append_header(std::string& wire, const std::string& name, const std::string& value) {
  wire.append(name).append(": ").append(value).append("\r\n");
}

std::string to_wire(const upstream_request& request,
                    const exchange_options& options,
                    const base::address& address,
                    base::duration time_left) {
  const auto left_ms = std::chrono::ceil<std::chrono::milliseconds>(time_left).count();
  std::string wire = request.method + " " + request.target + " HTTP/1.1\r\n";
  append_header(wire, "Host", base::to_string(address));
  for (const auto& [name, value] : request.headers) {
    append_header(wire, name, value);
  }
  for (const auto& [name, value] : options.headers) {
    append_header(wire, name, value);
  }
  append_header(wire, headers::time_left, std::to_string(left_ms));
  append_header(wire, "Content-Length", std::to_string(request.body.size()));
  wire += "\r\n";
  wire += request.body;
  return wire;
}

std::optional<base::duration> read_retry_after(const http_response& response) {
  const std::string text = find_header(response.headers, headers::retry_after).value_or("");
  std::uint32_t seconds = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, seconds);
  if (error != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

exchange_result make_failure(attempt_result result) { return {result, nullptr, {}, {}}; }

exchange_result to_exchange_result(http_response response) {
  exchange_result end;
  end.load = parse_load_report(find_header(response.headers, headers::load).value_or(""));
  end.retry_after = read_retry_after(response);
  const bool reports_not_run = find_header(response.headers, headers::outcome) == "not_run";
  if (response.status == status_unavailable && reports_not_run) {
    end.result = attempt_result::refused;
    end.shed = find_header(response.headers, headers::shed) == "1";
    return end;
  }
  auto answer = std::make_shared<delivery::upstream_response>();
  answer->status = response.status;
  answer->body = std::move(response.body);
  for (auto& [name, value] : response.headers) {
    if (!is_hop_by_hop(name) && name != headers::load) {
      answer->headers.emplace_back(std::move(name), std::move(value));
    }
  }
  end.result = attempt_result::answered;
  end.answer = std::move(answer);
  return end;
}

}  // namespace

struct upstream_client::implementation {
  /// Idle connections to an upstream.
  struct pool {
    std::uint64_t generation = 0;  // Incremented when all open connections are retired.
    std::vector<connection> idle;
  };

  struct pooled_connection {
    connection client;
    std::uint64_t generation = 0;
    bool used_before = false;
  };

  struct active_exchange {
    connection client;
    bool cancelled = false;
  };

  implementation(upstream_client_options chosen, base::clock_hook chosen_clock)
      : options(chosen), clock(std::move(chosen_clock)) {}

  /// The client is null when no connection could be established.
  pooled_connection acquire(const base::address& address, base::instant deadline) {
    std::unique_lock lock(mutex);
    pool& from = pools[address];
    while (!from.idle.empty()) {
      connection client = std::move(from.idle.back());
      from.idle.pop_back();
      if (client->is_idle()) {
        return {std::move(client), from.generation, true};
      }
    }
    const std::uint64_t generation = from.generation;
    lock.unlock();
    const base::duration left = std::min(options.connect_timeout, deadline - clock());
    return {http_connection::connect(address, left), generation, false};
  }

  void release(const base::address& address, pooled_connection used) {
    const std::lock_guard lock(mutex);
    pool& to = pools[address];
    if (to.generation == used.generation && to.idle.size() < options.max_idle_connections) {
      to.idle.push_back(std::move(used.client));
    }
  }

  /// Closes the idle connections to an upstream, and excludes those in use from reuse.
  void retire(const base::address& address) {
    const std::lock_guard lock(mutex);
    pool& from = pools[address];
    ++from.generation;
    from.idle.clear();
  }

  void register_exchange(const exchange_key& key, const connection& client) {
    const std::lock_guard lock(mutex);
    active_exchanges[key] = {client, false};
  }

  /// Returns whether the exchange was cancelled.
  bool unregister_exchange(const exchange_key& key) {
    const std::lock_guard lock(mutex);
    const auto found = active_exchanges.find(key);
    const bool cancelled = found->second.cancelled;
    active_exchanges.erase(found);
    return cancelled;
  }

  exchange_result finish_exchange(const base::address& address,
                                  pooled_connection used,
                                  http_exchange_status status,
                                  bool cancelled,
                                  http_response response) {
    if (status == http_exchange_status::complete) {
      const bool reusable = response.reusable && !cancelled;
      exchange_result end = to_exchange_result(std::move(response));
      // A copy of a refusal could be taken for the refusal of the next request.
      if (reusable && end.result != attempt_result::refused) {
        release(address, std::move(used));
      }
      return end;
    }
    if (status == http_exchange_status::not_sent) {
      return make_failure(attempt_result::not_sent);
    }
    if (cancelled) {
      return make_failure(attempt_result::cancelled);
    }
    retire(address);
    return make_failure(status == http_exchange_status::timed_out ? attempt_result::timed_out
                                                                  : attempt_result::broken);
  }

  upstream_client_options options;
  base::clock_hook clock;
  std::mutex mutex;
  std::map<base::address, pool> pools;
  std::map<exchange_key, active_exchange> active_exchanges;
};

upstream_client::upstream_client(upstream_client_options options, base::clock_hook clock)
    : implementation_(std::make_unique<implementation>(options, std::move(clock))) {}

upstream_client::~upstream_client() = default;

exchange_result upstream_client::exchange(const exchange_key& key,
                                          const base::address& address,
                                          const upstream_request& request,
                                          const exchange_options& options) {
  implementation& self = *implementation_;
  const base::instant start = self.clock();
  if (start >= options.deadline) {
    return make_failure(attempt_result::not_sent);
  }
  auto taken = self.acquire(address, options.deadline);
  const base::duration left = options.deadline - self.clock();
  if (!taken.client || left <= base::duration::zero()) {
    return make_failure(attempt_result::not_sent);
  }
  const std::string wire = to_wire(request, options, address, left);
  http_limits limits{self.clock, options.deadline, self.options.max_answer_bytes, {}, {}};
  if (taken.used_before) {
    limits.silence_deadline = start + options.silence;
    limits.on_silence = [&self, &address] { self.retire(address); };
  }
  http_response response;
  self.register_exchange(key, taken.client);
  const http_exchange_status status =
      taken.client->exchange(wire, request.method != "HEAD", limits, response);
  const bool cancelled = self.unregister_exchange(key);
  return self.finish_exchange(address, std::move(taken), status, cancelled, std::move(response));
}

void upstream_client::cancel(const exchange_key& key) {
  implementation& self = *implementation_;
  const std::lock_guard lock(self.mutex);
  const auto found = self.active_exchanges.find(key);
  if (found != self.active_exchanges.end()) {
    found->second.cancelled = true;
    found->second.client->interrupt();
  }
}

}  // namespace catkintack::net
