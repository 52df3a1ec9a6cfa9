#include "catkintack/control/relay_lookup.hpp"

#include <utility>

#include "catkintack/control/message_channel.hpp"
#include "catkintack/serving/task.hpp"

namespace catkintack::control {

namespace asio = boost::asio;
using serving::no_throw;

relay_lookup::relay_lookup(asio::io_context& io,
                           serving::traffic_state& state,
                           relay_lookup_options options)
    : state_(state),
      options_(std::move(options)),
      channel_(io, state, "relay_lookup"),
      timer_(io) {}

boost::system::error_code relay_lookup::open() {
  const auto error = channel_.open(
      options_.self, [this](const auto& bytes, const auto& sender) { handle(bytes, sender); });
  if (!error) {
    serving::spawn_service(timer_.get_executor(), state_.log, "relay_lookup_rounds",
                           [this] { return run(); });
  }
  return error;
}

void relay_lookup::wake() { timer_.cancel(); }

void relay_lookup::add(const std::string& ip) {
  boost::system::error_code malformed;
  asio::ip::make_address_v4(ip, malformed);
  if (!malformed && ip != options_.self.ip) {
    state_.relays.add({ip, options_.self.port});
  }
}

void relay_lookup::ask() {
  for (const base::address& host : options_.known_hosts()) {
    add(host.ip);
  }
  relay_message query = describe_self();
  query.is_query = true;
  const std::string bytes = encode(query);
  for (const base::address& host :
       state_.relays.hosts_to_ask(state_.clock(), options_.renewed_offers, options_.new_hosts,
                                  state_.random, restricted_regions())) {
    state_.metrics.add("relay_queries_total");
    channel_.send(bytes, host);
  }
}

std::set<base::region_id> relay_lookup::restricted_regions() const {
  std::set<base::region_id> result;
  if (state_.table) {
    for (const routes::route& one : state_.table->routes()) {
      result.insert(one.allowed_regions.begin(), one.allowed_regions.end());
    }
    for (const routes::customer_policy& one : state_.table->customers()) {
      result.insert(one.allowed_regions.begin(), one.allowed_regions.end());
    }
  }
  return result;
}

relay_message relay_lookup::describe_self() const {
  return {.available = state_.can_relay(),
          .region = state_.options.region,
          .failure_domain = state_.options.failure_domain};
}

void relay_lookup::handle(const std::string& bytes, const base::address& sender) {
  const auto message = decode<relay_message>(bytes);
  if (!message) {
    state_.log.write("relay_message_refused", {{"host", base::to_string(sender)},
                                               {"why", "malformed, or of another version"}});
    return;
  }
  if (!message->is_query) {
    state_.relays.on_offer(sender,
                           {.available = message->available,
                            .region = message->region,
                            .failure_domain = message->failure_domain,
                            .protocol_version = message->protocol_version},
                           state_.clock());
    for (const std::string& ip : message->other_hosts) {
      add(ip);
    }
    return;
  }
  relay_message answer = describe_self();
  for (const base::address& host : options_.known_hosts()) {
    add(host.ip);
  }
  for (const base::address& host : state_.relays.some_hosts(options_.named_hosts, state_.random)) {
    answer.other_hosts.push_back(host.ip);
  }
  channel_.send(encode(answer), sender);
}

asio::awaitable<void> relay_lookup::run() {
  for (;;) {
    if (!state_.isolation.isolated()) {
      // wake() ends the wait.
      timer_.expires_after(std::chrono::seconds(1));
      co_await timer_.async_wait(no_throw);
      continue;
    }
    ask();
    const base::instant until = state_.clock() + options_.interval;
    while (state_.clock() < until) {
      timer_.expires_after(until - state_.clock());
      co_await timer_.async_wait(no_throw);
    }
  }
}

}  // namespace catkintack::control
