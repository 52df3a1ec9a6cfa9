#include "catkintack/control/quota_keeper.hpp"

#include <algorithm>
#include <utility>

#include "catkintack/control/retry_backoff.hpp"
#include "catkintack/serving/io.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;

constexpr std::size_t max_authorities = 3;

std::vector<base::address> candidates_of(const std::vector<base::address>& seeds) {
  std::vector<base::address> result;
  for (const base::address& seed : seeds) {
    if (result.size() < max_authorities && std::ranges::find(result, seed) == result.end()) {
      result.push_back(seed);
    }
  }
  return result;
}

}  // namespace

std::optional<limits::quota_authorities> appoint_authorities(const appointment_request& request) {
  const std::vector<base::address> candidates = candidates_of(request.seeds);
  const auto own = std::ranges::find(candidates, request.self);
  if (own == candidates.end()) {
    return std::nullopt;
  }
  const limits::quota_authorities& current = request.current;
  if (current.epoch == 0) {
    return limits::quota_authorities{.epoch = 1, .holders = candidates};
  }
  if (std::ranges::find(current.holders, request.self) != current.holders.end()) {
    return std::nullopt;
  }
  // Seeds begin at different slots, as each conflict costs them another call.
  const auto first = static_cast<std::size_t>(own - candidates.begin());
  for (std::size_t i = 0; i < current.holders.size(); ++i) {
    const std::size_t slot = (first + i) % current.holders.size();
    if (std::ranges::find(candidates, current.holders[slot]) == candidates.end() &&
        request.is_unreachable(slot)) {
      limits::quota_authorities next = current;
      ++next.epoch;
      next.holders[slot] = request.self;
      return next;
    }
  }
  return std::nullopt;
}

quota_keeper::quota_keeper(const asio::any_io_executor& executor,
                           serving::traffic_state& state,
                           quota_exchange& exchange,
                           quota_registry_hooks registry,
                           quota_keeper_options options)
    : state_(state),
      exchange_(exchange),
      registry_(std::move(registry)),
      options_(options),
      timer_(executor) {}

std::optional<limits::quota_authorities> quota_keeper::appointment(
    const limits::quota_authorities& current) const {
  return appoint_authorities(
      {.current = current,
       .self = exchange_.self(),
       .seeds = exchange_.seeds(),
       .is_unreachable = [this](std::size_t slot) { return exchange_.is_unreachable(slot); }});
}

bool quota_keeper::is_seed() const {
  const std::vector<base::address> candidates = candidates_of(exchange_.seeds());
  return std::ranges::find(candidates, exchange_.self()) != candidates.end();
}

bool quota_keeper::has_customers() const { return state_.table && state_.table->has_customers(); }

bool quota_keeper::must_read() const {
  if (!has_customers()) {
    // Reads ahead, so that no call has to wait for it once the configuration is there.
    return exchange_.authorities().epoch == 0 && is_seed() && !known_;
  }
  if (exchange_.authorities().epoch == 0) {
    const base::instant now = state_.clock();
    return is_seed() || now - wanted_since_.value_or(now) >= options_.patience;
  }
  return appointment(exchange_.authorities()).has_value();
}

bool quota_keeper::is_count_due() {
  const auto counted = exchange_.counted_hosts();
  const base::instant now = state_.clock();
  // The holder of the first slot comes first, so that the others find the number changed.
  const auto& holders = exchange_.authorities().holders;
  const auto slot = std::ranges::find(holders, exchange_.self()) - holders.begin();
  constexpr base::duration::rep wait_when_falling = 10;
  const std::uint32_t recorded = known_ ? known_->host_count : 0;
  const bool grown = counted && *counted > recorded;
  const bool fallen = counted && *counted < recorded - recorded / 5;
  if (!grown && !fallen) {
    count_due_since_.reset();
    return false;
  }
  if (!count_due_since_) {
    count_due_since_ = now;
  }
  const base::duration wait =
      options_.min_count_interval * (grown ? 1 : wait_when_falling) * (slot + 1);
  return now - *count_due_since_ >= wait;
}

asio::awaitable<bool> quota_keeper::read() {
  state_.metrics.add("registry_calls_total{purpose=\"caps\"}");
  const quota_record_result result = co_await registry_.read();
  if (result.outcome != change_outcome::done) {
    last_failure_ = result.detail;
    co_return false;
  }
  known_ = result.record;
  exchange_.adopt(*known_);
  co_return true;
}

asio::awaitable<bool> quota_keeper::write(quota_record record, const char* purpose) {
  state_.metrics.add("registry_calls_total{purpose=\"caps\"}");
  const std::uint64_t epoch = record.authorities.epoch;
  const quota_record_result result = co_await registry_.write(std::move(record));
  if (result.outcome == change_outcome::unreachable) {
    // The write may still be made: read the entry before the next one.
    known_.reset();
    last_failure_ = result.detail;
    co_return false;
  }
  state_.log.write("quota_record_written",
                   {{"for", purpose},
                    {"epoch", epoch},
                    {"outcome", result.outcome == change_outcome::done ? "done" : "conflict"}});
  known_ = result.record;
  exchange_.adopt(*known_);
  co_return true;
}

asio::awaitable<bool> quota_keeper::check() {
  const base::instant now = state_.clock();
  if (exchange_.authorities().epoch > 0) {
    wanted_since_.reset();
  } else if (!wanted_since_) {
    wanted_since_ = now;
  }
  const bool count_due = is_count_due();
  if (!must_read() && !count_due) {
    co_return true;
  }
  if (!co_await read()) {
    co_return false;
  }
  if (!has_customers()) {
    co_return true;
  }
  if (wanted_since_ && exchange_.authorities().epoch == 0) {
    wanted_since_ = now;  // There is no entry yet; a host that is no seed reads it again later.
  }
  quota_record record = known_.value_or(quota_record{});
  // The entry of a store that was restored may be older than what the hosts have.
  record.authorities = std::max(record.authorities, exchange_.authorities());
  if (const auto next = appointment(record.authorities)) {
    record.authorities = *next;
    co_return co_await write(std::move(record), "authorities");
  }
  if (count_due && is_count_due()) {
    record.host_count = exchange_.counted_hosts().value_or(record.host_count);
    co_return co_await write(std::move(record), "hosts");
  }
  co_return true;
}

asio::awaitable<void> quota_keeper::run() {
  unsigned failures = 0;
  for (;;) {
    const bool succeeded = co_await check();
    failures = succeeded ? 0 : failures + 1;
    if (failures == 1) {
      state_.log.write("quota_record_failed", {{"why", last_failure_}});
    }
    const backoff_bounds bounds{.initial = options_.initial_backoff, .max = options_.max_backoff};
    timer_.expires_after(succeeded ? options_.interval
                                   : retry_backoff(failures, bounds, state_.random));
    auto [error] = co_await timer_.async_wait(serving::no_throw);
    if (error) {
      co_return;
    }
  }
}

}  // namespace catkintack::control
