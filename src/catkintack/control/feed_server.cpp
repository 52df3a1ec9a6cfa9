#include "catkintack/control/feed_server.hpp"

#include <algorithm>
#include <utility>

#include "catkintack/control/compression.hpp"
#include "catkintack/control/message_channel.hpp"
#include "catkintack/serving/task.hpp"
#include "catkintack/serving/upstream_connection.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using serving::no_throw;

// Hosts named to a subscriber that is refused for lack of capacity.
constexpr std::size_t max_alternatives = 4;
constexpr base::duration subscription_timeout = std::chrono::seconds(3);

}  // namespace

feed_server::feed_server(asio::io_context& io,
                         serving::traffic_state& state,
                         const registry_replica& replica,
                         feed_server_options options)
    : io_(io), state_(state), replica_(replica), options_(options), listener_(io) {}

error_code feed_server::listen(const base::address& where) {
  return listener_.listen(
      where,
      [this](asio::ip::tcp::socket socket) {
        serving::spawn_task(io_.get_executor(), state_.log, "feed",
                            serve(beast::tcp_stream(std::move(socket))));
      },
      [this](const error_code& error) {
        state_.log.write("accept_failed", {{"why", error.message()}});
      });
}

void feed_server::notify_subscribers() {
  for (const auto& host : subscribers_) {
    host->pending_change = true;
    host->timer.cancel();
  }
}

void feed_server::relay() {
  const base::instant due = state_.clock() - options_.heartbeat_interval / 2;
  for (const auto& host : subscribers_) {
    if (host->sent_at <= due) {
      host->timer.cancel();
    }
  }
}

std::vector<base::address> feed_server::subscribers() const {
  std::vector<base::address> result;
  for (const auto& host : subscribers_) {
    result.push_back(host->feed_address);
  }
  return result;
}

bool feed_server::has_capacity_for(const feed_subscription& request) const {
  if (subscribers_.size() >= options_.max_subscribers) {
    return false;
  }
  const bool same_region = request.region == state_.options.region;
  const bool same_domain = request.failure_domain == state_.options.failure_domain;
  if (request.watches_registry || (same_region && same_domain)) {
    return true;
  }
  const auto subscribed = std::ranges::count_if(subscribers_, [&](const auto& host) {
    return !host->watches_registry && host->region == request.region &&
           (!same_region || host->failure_domain == request.failure_domain);
  });
  return static_cast<std::size_t>(subscribed) < (same_region
                                                     ? options_.subscribers_per_other_domain
                                                     : options_.subscribers_per_other_region);
}

std::vector<base::address> feed_server::alternatives_for(const feed_subscription& request) const {
  std::vector<base::address> same_domain;
  std::vector<base::address> same_region;
  std::vector<base::address> other_regions;
  for (const auto& host : subscribers_) {
    if (host->region != request.region) {
      other_regions.push_back(host->feed_address);
    } else if (host->failure_domain != request.failure_domain) {
      same_region.push_back(host->feed_address);
    } else {
      same_domain.push_back(host->feed_address);
    }
  }
  std::vector<base::address> result = std::move(!same_domain.empty()   ? same_domain
                                                : !same_region.empty() ? same_region
                                                                       : other_regions);
  for (std::size_t i = result.size(); i > 1; --i) {
    std::swap(result[i - 1], result[state_.random() % i]);
  }
  result.resize(std::min(result.size(), max_alternatives));
  return result;
}

void feed_server::strip_large_tables(feed_changes& changes) const {
  const auto strip = [&](auto& payload) {
    if (payload.table && payload.table->routes().size() > options_.max_inline_routes) {
      payload.announced_table_version =
          std::max(payload.announced_table_version, payload.table->version().value());
      payload.table.reset();
    }
  };
  std::ranges::for_each(changes.batches, strip);
  if (changes.snapshot) {
    strip(*changes.snapshot);
  }
}

std::string feed_server::encode_changes(const subscriber& host) const {
  feed_changes changes;
  if (auto batches = replica_.changes().since(host.sent_revision)) {
    changes.batches = std::move(*batches);
  } else {
    changes.snapshot = replica_.snapshot();
  }
  if (!host.wants_large_tables) {
    strip_large_tables(changes);
  }
  return compress(encode(changes));
}

const std::string& feed_server::changes_for(const subscriber& host) {
  const base::list_version table = state_.table ? state_.table->version() : base::list_version();
  if (encoded_revision_ != replica_.revision() || encoded_table_ != table) {
    encoded_.clear();
    encoded_revision_ = replica_.revision();
    encoded_table_ = table;
  }
  const std::pair key(host.sent_revision, host.wants_large_tables);
  const auto [found, inserted] = encoded_.try_emplace(key);
  if (inserted) {
    found->second = encode_changes(host);
  }
  return found->second;
}

std::string feed_server::next_message(subscriber& host) {
  feed_message message;
  message.hops = replica_.hops();
  message.age_us = replica_.age().count();
  if (host.sent_revision < replica_.revision()) {
    message.changes = changes_for(host);
  }
  host.sent_revision = replica_.revision();
  message.limits = limit_reports_since(state_, host.sent_limit_change);
  host.sent_limit_change = state_.upstream_limits.last_change();
  return encode(message);
}

void feed_server::watch_for_close(beast::tcp_stream& stream,
                                  const std::shared_ptr<subscriber>& host) {
  stream.socket().async_wait(asio::ip::tcp::socket::wait_read, [host](const error_code& error) {
    // A subscriber sends nothing after its subscription, so that only a close is readable.
    if (!error) {
      host->gone = true;
      host->timer.cancel();
    }
  });
}

asio::awaitable<void> feed_server::publish(beast::tcp_stream& stream, subscriber& host) {
  while (!host.gone) {
    host.pending_change = false;
    host.sent_at = state_.clock();
    std::string body = next_message(host);
    stream.expires_after(options_.send_timeout);
    const error_code error = co_await send_frame(stream, std::move(body));
    if (error) {
      state_.log.write("subscriber_lost",
                       {{"host", base::to_string(host.feed_address)}, {"why", error.message()}});
      co_return;
    }
    if (!host.pending_change && !host.gone) {
      // A relay forwards each message of its publisher as it arrives. A heartbeat of its own in
      // between would only repeat the time at which the registry last confirmed the state, which is
      // known.
      host.timer.expires_after(replica_.watching() ? options_.heartbeat_interval
                                                   : options_.heartbeat_interval * 3 / 2);
      co_await host.timer.async_wait(no_throw);
    }
  }
}

asio::awaitable<void> feed_server::serve(beast::tcp_stream stream) {
  error_code ignored;  // Without TCP_NODELAY small messages are only delayed.
  (void)stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  serving::enable_dead_peer_detection(stream.socket().native_handle());
  stream.expires_after(subscription_timeout);
  const auto received = co_await receive_frame(stream);
  const auto request = received.first ? decode<feed_subscription>(*received.first) : std::nullopt;
  if (!request) {
    state_.log.write("subscription_refused", {{"why", received.second.message()}});
    co_return;
  }
  if (!has_capacity_for(*request)) {
    feed_message message;
    message.alternatives = alternatives_for(*request);
    std::string body = encode(message);
    co_await send_frame(stream, std::move(body));
    co_return;
  }
  const auto host = std::make_shared<subscriber>(io_);
  host->feed_address = request->feed_address;
  host->region = request->region;
  host->failure_domain = request->failure_domain;
  host->watches_registry = request->watches_registry;
  host->sent_revision = request->known_revision;
  host->wants_large_tables = request->wants_large_tables;
  subscribers_.push_back(host);
  watch_for_close(stream, host);
  state_.metrics.set("subscribers", static_cast<double>(subscribers_.size()));
  co_await publish(stream, *host);
  subscribers_.remove(host);
  state_.metrics.set("subscribers", static_cast<double>(subscribers_.size()));
}

}  // namespace catkintack::control
