#include "catkintack/control/feed_client.hpp"

#include <algorithm>
#include <utility>

#include "catkintack/control/compression.hpp"
#include "catkintack/control/message_channel.hpp"
#include "catkintack/control/retry_backoff.hpp"
#include "catkintack/serving/task.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
using serving::no_throw;

}  // namespace

feed_client::feed_client(asio::any_io_executor executor,
                         serving::traffic_state& state,
                         registry_replica& replica,
                         feed_client_options options)
    : executor_(std::move(executor)),
      state_(state),
      replica_(replica),
      options_(std::move(options)) {
  std::erase(options_.seeds, options_.self);
}

void feed_client::start(std::function<void()> on_change) {
  on_change_ = std::move(on_change);
  const std::size_t count = std::min(options_.publisher_count, options_.seeds.size());
  for (std::size_t i = 0; i < count; ++i) {
    slots_.push_back(std::make_shared<publisher_slot>(executor_));
    serving::spawn_service(executor_, state_.log, "subscription",
                           [this, slot = slots_.back()] { return run_slot(slot); });
  }
}

base::duration feed_client::up_to_date_for() const {
  base::instant end = base::instant::min();
  for (const auto& slot : slots_) {
    if (slot->confirmed_at != base::instant::min()) {
      end = std::max(end, slot->confirmed_at + options_.max_age);
    }
  }
  return end == base::instant::min() ? base::duration(-1) : end - state_.clock();
}

bool feed_client::has_publisher() const {
  return std::ranges::any_of(
      slots_, [](const auto& slot) { return slot->confirmed_at != base::instant::min(); });
}

std::vector<base::address> feed_client::publishers() const {
  std::vector<base::address> result;
  for (const auto& slot : slots_) {
    if (slot->publisher.port != 0) {
      result.push_back(slot->publisher);
    }
  }
  return result;
}

bool feed_client::up_to_date() const { return up_to_date_for() >= base::duration::zero(); }

void feed_client::update_status() {
  std::uint32_t hops = options_.max_hops;
  for (const auto& slot : slots_) {
    if (slot->confirmed_at != base::instant::min()) {
      hops = std::min(hops, slot->hops);
    }
  }
  replica_.set_publisher_hops(hops + 1);
  const bool now_up_to_date = up_to_date();
  if (now_up_to_date != was_up_to_date_) {
    was_up_to_date_ = now_up_to_date;
    state_.log.write("informed_by_peers", {{"informed", now_up_to_date ? 1 : 0},
                                           {"revision", replica_.revision().number},
                                           {"age_us", replica_.age().count()}});
  }
  on_change_();
}

void feed_client::request_large_tables() {
  wants_large_tables_ = true;
  for (const auto& slot : slots_) {
    if (slot->connection && replica_.lacks_table()) {
      slot->connection->close();
    }
  }
}

base::address feed_client::choose_publisher(publisher_slot& slot) {
  const auto in_use = [&](const base::address& where) {
    return where == options_.self || std::ranges::any_of(slots_, [&](const auto& other) {
             return other->publisher == where;
           });
  };
  auto& candidates = slot.referrals;
  std::erase_if(candidates, in_use);
  if (candidates.empty()) {
    candidates = options_.seeds;
    std::erase_if(candidates, in_use);
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

bool feed_client::apply_changes(const std::string& encoded,
                                const std::string& source,
                                std::string& reason) {
  const auto bytes = decompress(encoded, max_frame_bytes);
  auto changes = bytes ? decode<feed_changes>(*bytes) : std::nullopt;
  if (!changes) {
    reason = "message of another version";
    return false;
  }
  for (const change_batch& batch : changes->batches) {
    if (!replica_.apply(batch, source)) {
      reason = "steps are missing";
      return false;
    }
  }
  if (changes->snapshot) {
    replica_.apply_snapshot(std::move(*changes->snapshot), source);
  }
  return true;
}

bool feed_client::handle_message(publisher_slot& slot,
                                 const feed_message& message,
                                 std::string& reason) {
  const std::string source = base::to_string(slot.publisher);
  if (!message.changes.empty() && !apply_changes(message.changes, source, reason)) {
    return false;
  }
  for (const limit_report& report : message.limits) {
    apply_limit_report(state_, report, source);
  }
  const base::duration age(message.age_us);
  slot.confirmed_at = state_.clock() - age;
  slot.hops = message.hops;
  if (up_to_date()) {
    replica_.on_registry_reached(slot.confirmed_at, source);
  }
  if (message.hops <= options_.max_hops) {
    slot.attached_at = state_.clock();
  }
  update_status();
  reason = reason_to_leave(slot, age);
  return reason.empty();
}

std::string feed_client::reason_to_leave(const publisher_slot& slot, base::duration age) const {
  const base::instant now = state_.clock();
  // A publisher that starts at the same time as this host has no state yet.
  if (age > options_.publisher_max_age && now - slot.subscribed_at > options_.publisher_max_age) {
    return "it has lost the registry";
  }
  const bool first = &slot == slots_.front().get();
  if (first && now - std::max(slot.attached_at, slot.subscribed_at) > options_.detached_timeout) {
    return "it is detached from the seeds";
  }
  return {};
}

asio::awaitable<bool> feed_client::receive_message(publisher_slot& slot, std::string& reason) {
  slot.connection->stream.expires_after(options_.silence_timeout);
  const auto received = co_await receive_frame(slot.connection->stream);
  if (!received.first) {
    reason = received.second.message();
    co_return false;
  }
  auto message = decode<feed_message>(*received.first);
  if (!message || message->age_us < 0) {
    reason = "message of another version";
    co_return false;
  }
  if (message->protocol_version < options_.min_protocol_version) {
    reason = "its build does not send customers, regions of residence and evacuations";
    co_return false;
  }
  if (!message->alternatives.empty()) {
    slot.referrals = message->alternatives;
    reason = "no room";
    co_return false;
  }
  const bool accepted = handle_message(slot, *message, reason);
  co_return accepted;
}

std::string feed_client::subscription() const {
  feed_subscription result;
  // A host that lacks a table needs a full snapshot.
  result.known_revision = replica_.lacks_table() ? registry_revision{} : replica_.revision();
  result.feed_address = options_.self;
  result.region = state_.options.region;
  result.failure_domain = state_.options.failure_domain;
  result.watches_registry = options_.watches_registry;
  result.wants_large_tables = wants_large_tables_;
  return encode(result);
}

asio::awaitable<std::string> feed_client::consume_feed(publisher_slot& slot) {
  auto [connection, error] =
      co_await serving::connect_upstream(executor_, slot.publisher, {}, options_.connect_timeout);
  if (!connection) {
    co_return error.message();
  }
  slot.connection = std::move(connection);
  std::string request = subscription();
  slot.connection->stream.expires_after(options_.connect_timeout);
  const serving::error_code send_error =
      co_await send_frame(slot.connection->stream, std::move(request));
  if (send_error) {
    co_return send_error.message();
  }
  slot.subscribed_at = state_.clock();
  std::string reason;
  for (;;) {
    const bool accepted = co_await receive_message(slot, reason);
    if (!accepted) {
      co_return reason;
    }
    slot.failures = 0;
  }
}

void feed_client::drop_publisher(publisher_slot& slot, const std::string& reason) {
  const bool followed = slot.confirmed_at != base::instant::min();
  if (followed || slot.failures == 0) {
    state_.log.write("publisher_lost",
                     {{"publisher", base::to_string(slot.publisher)}, {"why", reason}});
  }
  slot.connection.reset();
  slot.publisher = {};
  slot.confirmed_at = base::instant::min();
  slot.attached_at = base::instant::min();
  ++slot.failures;
  if (followed) {
    update_status();
  }
}

asio::awaitable<void> feed_client::run_slot(std::shared_ptr<publisher_slot> slot) {
  for (;;) {
    slot->publisher = choose_publisher(*slot);
    if (slot->publisher.port != 0) {
      const std::string reason = co_await consume_feed(*slot);
      drop_publisher(*slot, reason);
    }
    const bool referred = !slot->referrals.empty() && slot->failures <= options_.seeds.size() + 2;
    if (referred) {
      continue;
    }
    const backoff_bounds bounds{.initial = options_.initial_backoff, .max = options_.max_backoff};
    slot->timer.expires_after(retry_backoff(slot->failures, bounds, state_.random));
    co_await slot->timer.async_wait(no_throw);
  }
}

}  // namespace catkintack::control
