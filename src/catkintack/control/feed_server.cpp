#include "catkintack/control/feed_server.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "catkintack/control/message_channel.hpp"
#include "catkintack/serving/upstream_connection.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using serving::no_throw;

// Hosts named to one for which there is no room.
constexpr std::size_t most_advised = 4;
constexpr base::duration subscription_limit = std::chrono::seconds(3);

}  // namespace

feed_server::feed_server(asio::io_context& io,
                         serving::traffic_state& state,
                         const knowledge_keeper& keeper,
                         feed_server_options options)
    : io_(io), state_(state), keeper_(keeper), options_(options), listener_(io) {}

error_code feed_server::listen(const base::address& where) {
  return listener_.listen(
      where,
      [this](asio::ip::tcp::socket socket) {
        asio::co_spawn(io_, serve(beast::tcp_stream(std::move(socket))), asio::detached);
      },
      [this](const error_code& error) {
        state_.log.write("accept_failed", {{"why", error.message()}});
      });
}

void feed_server::wake() {
  for (const auto& host : subscribers_) {
    host->changed = true;
    host->pause.cancel();
  }
}

void feed_server::pass_on() {
  const base::instant due = state_.clock() - options_.beat / 2;
  for (const auto& host : subscribers_) {
    if (host->sent_at <= due) {
      host->pause.cancel();
    }
  }
}

bool feed_server::has_room_for(const feed_subscription& asked) const {
  if (subscribers_.size() >= options_.most_subscribers) {
    return false;
  }
  if (asked.watches || asked.region == state_.options.region) {
    return true;
  }
  const auto there = std::ranges::count_if(subscribers_, [&](const auto& host) {
    return host->region == asked.region && !host->watches;
  });
  return static_cast<std::size_t>(there) < options_.subscribers_per_other_region;
}

std::vector<base::address> feed_server::advice(const feed_subscription& asked) const {
  std::vector<base::address> near;
  std::vector<base::address> far;
  for (const auto& host : subscribers_) {
    (host->region == asked.region ? near : far).push_back(host->where);
  }
  std::vector<base::address>& result = near.empty() ? far : near;
  for (std::size_t i = result.size(); i > 1; --i) {
    std::swap(result[i - 1], result[state_.random() % i]);
  }
  result.resize(std::min(result.size(), most_advised));
  return result;
}

void feed_server::leave_out_large(feed_message& message) const {
  const auto leave_out = [&](auto& part) {
    if (part.table && part.table->routes().size() > options_.large_routes) {
      part.newer_table = std::max(part.newer_table, part.table->version().value());
      part.table.reset();
    }
  };
  std::ranges::for_each(message.batches, leave_out);
  if (message.everything) {
    leave_out(*message.everything);
  }
}

std::string feed_server::next_message(subscriber& host) const {
  feed_message message;
  message.hops = keeper_.hops();
  message.age_us = keeper_.age().count();
  if (host.sent < keeper_.revision()) {
    if (auto steps = keeper_.changes().since(host.sent)) {
      message.batches = std::move(*steps);
    } else {
      message.everything = keeper_.snapshot();
    }
  }
  if (!host.wants_large) {
    leave_out_large(message);
  }
  host.sent = keeper_.revision();
  return encode(message);
}

asio::awaitable<void> feed_server::tell(beast::tcp_stream& stream, subscriber& host) {
  for (;;) {
    host.changed = false;
    host.sent_at = state_.clock();
    std::string text = next_message(host);
    stream.expires_after(options_.send_limit);
    const error_code error = co_await send_bytes(stream, std::move(text));
    if (error) {
      state_.log.write("subscriber_lost",
                       {{"host", base::to_string(host.where)}, {"why", error.message()}});
      co_return;
    }
    if (!host.changed) {
      // A relay passes messages on as they come; a beat of its own between them would only make
      // what it publishes older.
      const bool relays = keeper_.age() > base::duration::zero();
      host.pause.expires_after(relays ? options_.beat * 3 / 2 : options_.beat);
      co_await host.pause.async_wait(no_throw);
    }
  }
}

asio::awaitable<void> feed_server::serve(beast::tcp_stream stream) {
  error_code ignored;  // Without the option small messages only come later.
  (void)stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  serving::enable_dead_peer_detection(stream.socket().native_handle());
  stream.expires_after(subscription_limit);
  const auto received = co_await receive_bytes(stream);
  const auto asked = received.first ? decode<feed_subscription>(*received.first) : std::nullopt;
  if (!asked) {
    state_.log.write("subscription_refused", {{"why", received.second.message()}});
    co_return;
  }
  if (!has_room_for(*asked)) {
    feed_message message;
    message.ask_instead = advice(*asked);
    std::string text = encode(message);
    co_await send_bytes(stream, std::move(text));
    co_return;
  }
  const auto host = std::make_shared<subscriber>(io_);
  host->where = asked->from;
  host->region = asked->region;
  host->watches = asked->watches;
  host->sent = asked->known_revision;
  host->wants_large = asked->wants_large;
  subscribers_.push_back(host);
  state_.metrics.set("subscribers", static_cast<double>(subscribers_.size()));
  co_await tell(stream, *host);
  subscribers_.remove(host);
  state_.metrics.set("subscribers", static_cast<double>(subscribers_.size()));
}

}  // namespace catkintack::control
