#include "catkintack/control/crash_reporter.hpp"

#include <algorithm>
#include <utility>

#include "catkintack/control/retry_backoff.hpp"
#include "catkintack/serving/io.hpp"

namespace catkintack::control {

namespace asio = boost::asio;

crash_reporter::crash_reporter(const asio::any_io_executor& executor,
                               serving::traffic_state& state,
                               crash_registry_hooks registry,
                               base::wall_clock_hook wall_clock,
                               crash_reporter_options options)
    : state_(state),
      registry_(std::move(registry)),
      wall_clock_(std::move(wall_clock)),
      options_(options),
      timer_(executor),
      next_expiry_(state.clock() + options.expiry_interval) {}

std::int64_t crash_reporter::now_ms() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(wall_clock_().time_since_epoch())
      .count();
}

void crash_reporter::wake() { timer_.cancel(); }

void crash_reporter::clear(const choice::crash_record& answered) {
  if (answered.revision > 0) {
    to_remove_.push_back(answered);
  }
  state_.notify_crashes_changed();
}

void crash_reporter::queue_expired() {
  if (!options_.removes_expired || state_.clock() < next_expiry_) {
    return;
  }
  next_expiry_ = state_.clock() + options_.expiry_interval;
  for (const choice::crash_record& entry : state_.crashes.entries()) {
    const base::duration hold = state_.crashes.is_quarantined(entry.fingerprint)
                                    ? state_.options.quarantine_time
                                    : options_.suspicion_time;
    if (std::chrono::milliseconds(now_ms() - entry.last_seen_ms) > hold) {
      to_remove_.push_back(entry);
    }
  }
}

asio::awaitable<bool> crash_reporter::report(choice::crash_record record) {
  record.last_seen_ms = now_ms();
  const bool known = record.revision > 0;
  const base::request_fingerprint request = record.fingerprint;
  state_.metrics.add("registry_calls_total{purpose=\"crash\"}");
  const change_result result = co_await registry_.write(std::move(record));
  if (result.outcome == change_outcome::unreachable) {
    last_failure_ = result.detail;
    co_return false;
  }
  if (result.entry.revision > 0) {
    state_.crashes.put(result.entry);
  } else if (known) {
    // Another host or an operator has cleared the request.
    state_.crashes.remove(request);
  }
  state_.notify_crashes_changed();
  co_return true;
}

asio::awaitable<bool> crash_reporter::remove_next() {
  choice::crash_record record = to_remove_.front();
  state_.metrics.add("registry_calls_total{purpose=\"crash\"}");
  const change_result result = co_await registry_.remove(std::move(record));
  if (result.outcome == change_outcome::unreachable) {
    last_failure_ = result.detail;
    co_return false;
  }
  // After a conflict the entry holds newer crashes, which count again.
  to_remove_.pop_front();
  co_return true;
}

asio::awaitable<void> crash_reporter::run() {
  unsigned failures = 0;
  for (;;) {
    for (const choice::crash_record& answered : state_.crashes.take_answered(state_.clock())) {
      clear(answered);
    }
    queue_expired();
    bool succeeded = true;
    if (!to_remove_.empty()) {
      succeeded = co_await remove_next();
    } else if (auto record = state_.crashes.next_unreported()) {
      choice::crash_record lost = std::move(*record);
      succeeded = co_await report(std::move(lost));
    } else {
      timer_.expires_after(options_.expiry_interval);
      co_await timer_.async_wait(serving::no_throw);
    }
    failures = succeeded ? 0 : failures + 1;
    if (!succeeded) {
      if (failures == 1) {
        state_.log.write("crash_report_failed", {{"why", last_failure_}});
      }
      const backoff_bounds bounds{.initial = options_.initial_backoff, .max = options_.max_backoff};
      const base::instant until = state_.clock() + retry_backoff(failures, bounds, state_.random);
      while (state_.clock() < until) {
        timer_.expires_after(until - state_.clock());
        co_await timer_.async_wait(serving::no_throw);
      }
    }
  }
}

}  // namespace catkintack::control
