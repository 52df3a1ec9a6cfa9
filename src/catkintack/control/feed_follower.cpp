#include "catkintack/control/feed_follower.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "catkintack/control/message_channel.hpp"
#include "catkintack/control/retry_pause.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
using serving::no_throw;

}  // namespace

feed_follower::feed_follower(asio::any_io_executor executor,
                             serving::traffic_state& state,
                             knowledge_keeper& keeper,
                             feed_follower_options options)
    : executor_(std::move(executor)), state_(state), keeper_(keeper), options_(std::move(options)) {
  std::erase(options_.seeds, options_.self);
}

void feed_follower::start(std::function<void()> on_change) {
  on_change_ = std::move(on_change);
  const std::size_t count = std::min(options_.publishers, options_.seeds.size());
  for (std::size_t i = 0; i < count; ++i) {
    slots_.push_back(std::make_shared<feed_slot>(executor_));
    asio::co_spawn(executor_, fill(slots_.back()), asio::detached);
  }
}

bool feed_follower::informed() const {
  const base::instant now = state_.clock();
  return std::ranges::any_of(slots_, [&](const auto& place) {
    return place->confirmed != base::instant::min() && now - place->confirmed <= options_.age_limit;
  });
}

void feed_follower::note_informed() {
  std::uint32_t hops = options_.most_hops;
  for (const auto& place : slots_) {
    if (place->confirmed != base::instant::min()) {
      hops = std::min(hops, place->hops);
    }
  }
  keeper_.informed_over(hops + 1);
  const bool now_informed = informed();
  if (now_informed != was_informed_) {
    was_informed_ = now_informed;
    state_.log.write("informed_by_peers", {{"informed", now_informed ? 1 : 0},
                                           {"revision", keeper_.revision()},
                                           {"age_us", keeper_.age().count()}});
  }
  on_change_();
}

void feed_follower::want_large() {
  want_large_ = true;
  for (const auto& place : slots_) {
    if (place->connection && keeper_.lacks_table()) {
      place->connection->close();
    }
  }
}

base::address feed_follower::choose(feed_slot& place) {
  const auto taken = [&](const base::address& where) {
    return where == options_.self ||
           std::ranges::any_of(slots_, [&](const auto& one) { return one->publisher == where; });
  };
  auto& candidates = place.advised;
  std::erase_if(candidates, taken);
  if (candidates.empty()) {
    candidates = options_.seeds;
    std::erase_if(candidates, taken);
  }
  if (candidates.empty()) {
    return {};
  }
  const auto chosen =
      candidates.begin() + static_cast<std::ptrdiff_t>(state_.random() % candidates.size());
  base::address result = *chosen;
  candidates.erase(chosen);
  return result;
}

bool feed_follower::take(feed_slot& place, feed_message message, std::string& why) {
  const std::string source = base::to_string(place.publisher);
  for (const change_batch& batch : message.batches) {
    if (!keeper_.apply(batch, source)) {
      why = "steps are missing";
      return false;
    }
  }
  if (message.everything) {
    keeper_.adopt(std::move(*message.everything), source);
  }
  const base::duration age(message.age_us);
  place.confirmed = state_.clock() - age;
  place.hops = message.hops;
  if (informed()) {
    keeper_.on_registry_reached(place.confirmed, source);
  }
  note_informed();
  if (message.hops > options_.most_hops) {
    why = "it is too far from the registry";
    return false;
  }
  if (age > options_.give_up_age) {
    why = "it has lost the registry";
    return false;
  }
  return true;
}

asio::awaitable<bool> feed_follower::receive(feed_slot& place, std::string& why) {
  place.connection->stream.expires_after(options_.silence_limit);
  const auto received = co_await receive_bytes(place.connection->stream);
  if (!received.first) {
    why = received.second.message();
    co_return false;
  }
  auto message = decode<feed_message>(*received.first);
  if (!message || message->age_us < 0) {
    why = "message of another version";
    co_return false;
  }
  if (!message->ask_instead.empty()) {
    place.advised = message->ask_instead;
    why = "no room";
    co_return false;
  }
  const bool taken = take(place, std::move(*message), why);
  co_return taken;
}

std::string feed_follower::subscription() const {
  feed_subscription result;
  // A host that lacks a table needs everything anew.
  result.known_revision = keeper_.lacks_table() ? 0 : keeper_.revision();
  result.from = options_.self;
  result.region = state_.options.region;
  result.watches = options_.watches;
  result.wants_large = want_large_;
  return encode(result);
}

asio::awaitable<std::string> feed_follower::follow(feed_slot& place) {
  auto [made, error] =
      co_await serving::connect_upstream(executor_, place.publisher, {}, options_.connect_limit);
  if (!made) {
    co_return error.message();
  }
  place.connection = std::move(made);
  std::string asked = subscription();
  place.connection->stream.expires_after(options_.connect_limit);
  const serving::error_code unsent =
      co_await send_bytes(place.connection->stream, std::move(asked));
  if (unsent) {
    co_return unsent.message();
  }
  std::string why;
  for (;;) {
    const bool goes_on = co_await receive(place, why);
    if (!goes_on) {
      co_return why;
    }
    place.failures = 0;
  }
}

void feed_follower::leave(feed_slot& place, const std::string& why) {
  const bool followed = place.confirmed != base::instant::min();
  if (followed || place.failures == 0) {
    state_.log.write("publisher_lost",
                     {{"publisher", base::to_string(place.publisher)}, {"why", why}});
  }
  place.connection.reset();
  place.publisher = {};
  place.confirmed = base::instant::min();
  ++place.failures;
  if (followed) {
    note_informed();
  }
}

asio::awaitable<void> feed_follower::fill(std::shared_ptr<feed_slot> place) {
  for (;;) {
    place->publisher = choose(*place);
    if (place->publisher.port != 0) {
      const std::string why = co_await follow(*place);
      leave(*place, why);
    }
    const bool advised = !place->advised.empty() && place->failures <= options_.seeds.size() + 2;
    if (advised) {
      continue;
    }
    const retry_span span{.first = options_.first_pause, .longest = options_.longest_pause};
    place->pause.expires_after(retry_pause(place->failures, span, state_.random));
    co_await place->pause.async_wait(no_throw);
  }
}

}  // namespace catkintack::control
