#include "catkintack/net/upstream_client.hpp"

#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <mutex>

#include "catkintack/net/headers.hpp"
#include "catkintack/net/load_header.hpp"

namespace catkintack::net {
namespace {

using routing::attempt_result;

constexpr int status_unavailable = 503;

using connection = std::unique_ptr<httplib::Client>;

connection connect_to(const base::address& where, const upstream_client_options& options) {
  auto client = std::make_unique<httplib::Client>(where.ip, where.port);
  client->set_tcp_nodelay(true);
  client->set_keep_alive(true);
  client->set_url_encode(false);
  client->set_decompress(false);
  client->set_connection_timeout(0, options.connect_timeout.count());
  return client;
}

httplib::Request to_httplib(const upstream_request& request) {
  httplib::Request converted;
  converted.method = request.method;
  converted.path = request.target;
  for (const auto& [name, value] : request.headers) {
    converted.headers.emplace(name, value);
  }
  converted.body = request.body;
  return converted;
}

bool is_hop_by_hop(const std::string& name) {
  static constexpr const char* names[] = {"connection",     "keep-alive", "transfer-encoding",
                                          "content-length", "upgrade",    "trailer"};
  std::string lower = name;
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return std::find(std::begin(names), std::end(names), lower) != std::end(names);
}

std::optional<base::duration> read_retry_after(const httplib::Response& response) {
  const std::string text = response.get_header_value(headers::retry_after);
  std::uint32_t seconds = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, seconds);
  if (error != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

exchange_result read_answer(const httplib::Response& response) {
  exchange_result end;
  end.load = parse_load_report(response.get_header_value(headers::load));
  end.retry_after = read_retry_after(response);
  const bool said_not_run = response.get_header_value(headers::outcome) == "not_run";
  if (response.status == status_unavailable && said_not_run) {
    end.result = attempt_result::refused;
    end.shed = response.get_header_value(headers::shed) == "1";
    return end;
  }
  auto answer = std::make_shared<delivery::answer>();
  answer->status = response.status;
  answer->body = response.body;
  for (const auto& [name, value] : response.headers) {
    if (!is_hop_by_hop(name) && name != headers::load) {
      answer->headers.emplace_back(name, value);
    }
  }
  end.result = attempt_result::answered;
  end.answer = std::move(answer);
  return end;
}

}  // namespace

struct upstream_client::implementation {
  implementation(upstream_client_options chosen, base::clock_hook chosen_clock)
      : options(chosen), clock(std::move(chosen_clock)) {}

  connection take(const base::address& where) {
    const std::lock_guard lock(mutex);
    std::vector<connection>& pool = idle[where];
    if (pool.empty()) {
      return nullptr;
    }
    connection taken = std::move(pool.back());
    pool.pop_back();
    return taken;
  }

  void give_back(const base::address& where, connection used) {
    const std::lock_guard lock(mutex);
    std::vector<connection>& pool = idle[where];
    if (pool.size() < options.max_idle_connections) {
      pool.push_back(std::move(used));
    }
  }

  void enter(const exchange_key& key, httplib::Client* client) {
    const std::lock_guard lock(mutex);
    in_flight[key] = client;
  }

  /// Returns whether the exchange was cancelled.
  bool leave(const exchange_key& key) {
    const std::lock_guard lock(mutex);
    return in_flight.erase(key) == 0;
  }

  upstream_client_options options;
  base::clock_hook clock;
  std::mutex mutex;
  std::map<base::address, std::vector<connection>> idle;
  std::map<exchange_key, httplib::Client*> in_flight;
};

upstream_client::upstream_client(upstream_client_options options, base::clock_hook clock)
    : implementation_(std::make_unique<implementation>(options, std::move(clock))) {}

upstream_client::~upstream_client() = default;

exchange_result upstream_client::exchange(const exchange_key& key,
                                          const base::address& where,
                                          const upstream_request& request,
                                          base::instant deadline) {
  implementation& self = *implementation_;
  connection client = self.take(where);
  if (!client) {
    client = connect_to(where, self.options);
  }
  const base::duration left = deadline - self.clock();
  if (left <= base::duration::zero()) {
    return {attempt_result::not_sent, nullptr, {}, {}};
  }
  client->set_read_timeout(left);
  client->set_write_timeout(left);
  httplib::Request message = to_httplib(request);
  const auto left_ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  message.headers.emplace(headers::time_left, std::to_string(left_ms));
  self.enter(key, client.get());
  const auto result = client->send(message);
  const bool cancelled = self.leave(key);
  if (result) {
    exchange_result end = read_answer(*result);
    if (!cancelled) {
      self.give_back(where, std::move(client));
    }
    return end;
  }
  const bool connected = result.error() != httplib::Error::Connection &&
                         result.error() != httplib::Error::ConnectionTimeout;
  if (!connected) {
    return {attempt_result::not_sent, nullptr, {}, {}};
  }
  if (cancelled) {
    return {attempt_result::cancelled, nullptr, {}, {}};
  }
  const bool late = self.clock() >= deadline;
  return {late ? attempt_result::timed_out : attempt_result::broken, nullptr, {}, {}};
}

void upstream_client::cancel(const exchange_key& key) {
  implementation& self = *implementation_;
  const std::lock_guard lock(self.mutex);
  const auto found = self.in_flight.find(key);
  if (found == self.in_flight.end()) {
    return;
  }
  found->second->stop();
  self.in_flight.erase(found);
}

}  // namespace catkintack::net
