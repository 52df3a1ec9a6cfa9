#include "catkintack/serving/call_attempts.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <utility>

#include "catkintack/serving/crash_check.hpp"
#include "catkintack/serving/stop_check.hpp"
#include "catkintack/serving/task.hpp"

namespace catkintack::serving {
namespace {

void log_attempt(traffic_state& state,
                 const call& served,
                 const upstream_selection& selection,
                 const exchange_result& attempt,
                 base::duration elapsed) {
  if (attempt.outcome == exchange_outcome::answered) {
    return;
  }
  state.log.write("attempt_failed", {{"request", served.id},
                                     {"fingerprint", served.fingerprint.value()},
                                     {"upstream", selection.upstream.value()},
                                     {"outcome", std::string(to_text(attempt.outcome))},
                                     {"why", attempt.detail},
                                     {"took_us", elapsed.count()},
                                     {"considered", selection.considered}});
}

/// @brief Updates the load and failure statistics with the outcome of an attempt.
void record_outcome(traffic_state& state,
                    const call& served,
                    const upstream_selection& selection,
                    const exchange_result& attempt,
                    base::duration elapsed) {
  switch (attempt.outcome) {
    case exchange_outcome::answered:
      state.outlier_detector.on_success(selection.upstream);
      if (!attempt.body_parser) {
        on_request_answered(state, served.fingerprint);
        state.route_statistics.on_response(routes::place_of(*served.route), elapsed,
                                           selection.reading,
                                           attempt.sent_bytes + attempt.body.size());
      }
      return;
    case exchange_outcome::caller_left:
      return;
    case exchange_outcome::failed:
      on_request_answered(state, served.fingerprint);
      state.outlier_detector.on_failure(selection.upstream, state.clock());
      return;
    case exchange_outcome::not_run:
    case exchange_outcome::may_have_run:
    case exchange_outcome::timed_out:
      state.outlier_detector.on_failure(selection.upstream, state.clock());
      return;
  }
}

/// @brief Finds out whether the upstream of an attempt crashed, at once for a request that is
/// suspect already: it might be sent to the next upstream.
asio::awaitable<void> examine_loss(traffic_state& state,
                                   const asio::any_io_executor& executor,
                                   const call& served,
                                   const base::upstream_id& upstream) {
  const lost_call lost = describe_lost_call(state, served, upstream);
  if (state.crashes.is_suspect(served.fingerprint)) {
    co_await check_for_crash(state, executor, lost);
  } else {
    spawn_task(executor, state.log, "crash_check", check_for_crash(state, executor, lost));
  }
}

/// @brief Calls a hook once after a time, unless destroyed before.
class silence_watchdog {
 public:
  silence_watchdog(const asio::any_io_executor& executor,
                   base::duration timeout,
                   std::function<void()> on_silence)
      : timer_(executor, timeout) {
    timer_.async_wait([on_silence = std::move(on_silence)](const error_code& error) {
      if (!error) {
        on_silence();
      }
    });
  }

 private:
  asio::steady_timer timer_;
};

/// @brief Order in which failures are reported: a response of an upstream first, the promise that a
/// call did not run last.
int rank_of(const finished_attempt& failed) {
  switch (failed.exchange.outcome) {
    case exchange_outcome::failed:
      return 2;
    case exchange_outcome::not_run:
      return 0;
    default:
      return 1;
  }
}

}  // namespace

/// @brief Attempts of a call that overlap.
struct call_attempts::round {
  explicit round(const asio::any_io_executor& executor) : changed(executor), pause(executor) {}

  std::size_t at_work = 0;  ///< Attempts after the first that have not ended.
  bool over = false;        ///< No further attempt is needed.
  std::optional<finished_attempt> decisive;
  std::optional<finished_attempt> failure;  ///< The one to report if all fail.
  asio::steady_timer changed;               ///< Cancelled when an attempt has ended.
  asio::steady_timer pause;  ///< Between two searches; cancelled when the round is over.
};

/// @brief Counts a further attempt as at work until it has ended, also by an exception.
class call_attempts::work_count {
 public:
  explicit work_count(round& current) : current_(current) { ++current_.at_work; }
  work_count(const work_count&) = delete;
  work_count& operator=(const work_count&) = delete;
  work_count(work_count&&) = delete;
  work_count& operator=(work_count&&) = delete;
  ~work_count() {
    --current_.at_work;
    current_.changed.cancel();
  }

 private:
  round& current_;
};

bool ends_call(const exchange_result& attempt, const call& served) {
  return served.caller_left || attempt.outcome == exchange_outcome::caller_left ||
         attempt.outcome == exchange_outcome::answered ||
         attempt.outcome == exchange_outcome::timed_out;
}

call_attempts::call_attempts(traffic_state& state,
                             asio::any_io_executor executor,
                             std::shared_ptr<call> served,
                             base::service_id service)
    : state_(state),
      executor_(std::move(executor)),
      served_(std::move(served)),
      service_(std::move(service)),
      share_(state, *served_, service_) {}

bool call_attempts::may_try_again() const {
  return served_->can_be_sent() && !served_->caller_left &&
         progress_.attempts < served_->route->max_attempts && state_.clock() < served_->deadline;
}

void call_attempts::describe_search(const upstream_selection& selection) {
  diagnostics_.rounds = selection.rounds;
  diagnostics_.held = state_.clock() - served_->arrived;
  diagnostics_.expected = selection.decision.expected.total;
  diagnostics_.considered = selection.considered;
}

asio::awaitable<upstream_selection> call_attempts::select() {
  upstream_selection selection =
      co_await select_upstream(state_, executor_, *served_, share_, service_, progress_.tried);
  describe_search(selection);
  co_return std::move(selection);
}

asio::awaitable<finished_attempt> call_attempts::send(upstream_selection selection) {
  const auto self = shared_from_this();
  const auto current = std::make_shared<round>(executor_);
  finished_attempt first = co_await attempt(current, std::move(selection));
  if (!current->decisive && ends_call(first.exchange, *served_)) {
    conclude(*current, std::move(first));
  } else if (!current->decisive) {
    record_failure(*current, std::move(first));
  }
  while (!current->decisive && current->at_work > 0) {
    current->changed.expires_at(asio::steady_timer::time_point::max());
    co_await current->changed.async_wait(no_throw);
  }
  current->over = true;
  current->pause.cancel();
  finished_attempt failed = std::move(current->failure).value_or(finished_attempt());
  co_return std::move(current->decisive).value_or(std::move(failed));
}

void call_attempts::conclude(round& current, finished_attempt decisive) {
  current.decisive = std::move(decisive);
  current.over = true;
  current.pause.cancel();
  current.changed.cancel();
  if (served_->caller_left) {
    return;  // The attempts of a repeatable call were ended already.
  }
  for (upstream_connection* const obsolete : served_->active_connections) {
    state_.metrics.add("attempts_abandoned_total");
    state_.log.write("attempt_abandoned", {{"request", served_->id},
                                           {"upstream", obsolete->upstream.value()},
                                           {"answered_by", current.decisive->upstream.value()}});
    served_->give_up(*obsolete);
  }
}

void call_attempts::record_failure(round& current, finished_attempt failed) {
  if (!current.failure || rank_of(failed) >= rank_of(*current.failure)) {
    current.failure = std::move(failed);
  }
  current.changed.cancel();
}

base::duration call_attempts::silence_timeout() const {
  constexpr int tolerated_estimates = 3;
  return std::max({served_->route->latency_objective, diagnostics_.expected * tolerated_estimates,
                   (served_->deadline - state_.clock()) / 2});
}

bool call_attempts::may_back_up(const round& current) const {
  const base::instant now = state_.clock();
  // A body that is still being read goes to one upstream only.
  return !current.over && !served_->response_started && !served_->read_more_body &&
         may_try_again() && served_->deadline - now > diagnostics_.expected &&
         !state_.isolation.isolated() && !state_.crashes.is_quarantined(served_->fingerprint) &&
         state_.repeats.can_spend(service_, now);
}

asio::awaitable<finished_attempt> call_attempts::attempt(std::shared_ptr<round> current,
                                                         upstream_selection selection) {
  std::optional<silence_watchdog> watchdog;
  if (served_->repeatable()) {
    watchdog.emplace(executor_, silence_timeout(), [self = shared_from_this(), current] {
      spawn_task(self->executor_, self->state_.log, "back_up", back_up(self, current));
    });
  }
  finished_attempt result = co_await exchange_with(*current, std::move(selection));
  watchdog.reset();
  if (!ends_call(result.exchange, *served_)) {
    progress_.may_have_run =
        progress_.may_have_run || result.exchange.outcome != exchange_outcome::not_run;
    if (result.exchange.connection_lost) {
      co_await examine_loss(state_, executor_, *served_, result.upstream);
    }
  }
  co_return std::move(result);
}

asio::awaitable<finished_attempt> call_attempts::exchange_with(const round& current,
                                                               upstream_selection selection) {
  share_.start();
  progress_.tried.insert(selection.upstream);
  diagnostics_.attempts = ++progress_.attempts;
  if (const auto limit = state_.send_limit_of(selection.upstream)) {
    diagnostics_.limit = limit->rate;
    state_.metrics.add("sends_to_limited_upstreams_total");
  }
  finished_attempt result{
      .exchange = {}, .upstream = selection.upstream, .diagnostics = diagnostics_};
  const base::instant started_at = state_.clock();
  state_.in_flight.begin(selection.upstream, started_at);
  constexpr std::size_t max_buffered_response = 64U << 10U;
  result.exchange =
      co_await exchange(std::move(selection.connection), *served_, state_.options.protocol,
                        served_->deadline - started_at, max_buffered_response);
  exchange_result& ended = result.exchange;
  state_.in_flight.end(selection.upstream, started_at);
  if (ended.status != 0) {
    state_.last_upstream_response = state_.clock();
  }
  const base::duration elapsed = state_.clock() - started_at;
  state_.metrics.add("attempts_total{outcome=\"" + std::string(to_text(ended.outcome)) + "\"}");
  apply_notice(state_, selection.upstream, ended.notice, notice_source::call);
  if (current.decisive && current.decisive->diagnostics.attempts < result.diagnostics.attempts) {
    // An earlier upstream answered first, which says nothing about this one.
    co_return std::move(result);
  }
  log_attempt(state_, *served_, selection, ended, elapsed);
  record_outcome(state_, *served_, selection, ended, elapsed);
  if (!ended.body_parser && ended.connection) {
    state_.pool.release(std::move(ended.connection), state_.clock());
  }
  co_return std::move(result);
}

asio::awaitable<void> call_attempts::back_up(std::shared_ptr<call_attempts> self,
                                             std::shared_ptr<round> current) {
  // During a planned stop, another host serves the caller better than a search here.
  while (self->state_.stop == stop_stage::running && self->may_back_up(*current)) {
    const bool sent = co_await self->try_back_up(current);
    if (sent) {
      co_return;
    }
    current->pause.expires_after(self->silence_timeout());
    co_await current->pause.async_wait(no_throw);
  }
}

asio::awaitable<bool> call_attempts::try_back_up(std::shared_ptr<round> current) {
  const std::function<bool()> is_obsolete = [current] { return current->over; };
  upstream_selection selection = co_await select_upstream(state_, executor_, *served_, share_,
                                                          service_, progress_.tried, is_obsolete);
  if (!selection.connection) {
    co_return false;
  }
  if (!may_back_up(*current) ||
      !ends_before_stop(state_, *served_, selection.decision.expected.total) ||
      !state_.repeats.try_spend(service_, state_.clock())) {
    state_.pool.release(std::move(selection.connection), state_.clock());
    co_return false;
  }
  describe_search(selection);
  state_.metrics.add("attempts_backed_up_total");
  state_.log.write("attempt_backed_up", {{"request", served_->id},
                                         {"upstream", selection.upstream.value()},
                                         {"expected_us", diagnostics_.expected.count()}});
  std::optional<work_count> counted;
  counted.emplace(*current);
  finished_attempt result = co_await attempt(current, std::move(selection));
  counted.reset();
  if (current->decisive) {
    co_return true;
  }
  if (ends_call(result.exchange, *served_)) {
    conclude(*current, std::move(result));
  } else {
    record_failure(*current, std::move(result));
  }
  co_return true;
}

}  // namespace catkintack::serving
