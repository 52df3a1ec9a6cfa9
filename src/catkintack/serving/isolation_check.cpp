#include "catkintack/serving/isolation_check.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "catkintack/serving/open_connection.hpp"
#include "catkintack/serving/task.hpp"

namespace catkintack::serving {
namespace {

/// @brief Connections that are being tried at the same time.
struct parallel_attempts {
  explicit parallel_attempts(const asio::any_io_executor& executor) : ended(executor) {}
  asio::steady_timer ended;
  std::size_t pending = 0;
  std::size_t connected = 0;
};

asio::awaitable<void> try_upstream(traffic_state& state,
                                   asio::any_io_executor executor,
                                   routing::upstream_record upstream,
                                   std::shared_ptr<parallel_attempts> attempts) {
  auto connection = co_await open_connection(state, executor, upstream.where, upstream.id,
                                             state.options.remote_probe_timeout);
  attempts->connected += connection ? 1 : 0;
  --attempts->pending;
  state.pool.release(std::move(connection), state.clock());
  attempts->ended.cancel();
}

}  // namespace

isolation_check::isolation_check(asio::any_io_executor executor,
                                 traffic_state& state,
                                 isolation_check_options options)
    : executor_(std::move(executor)), state_(state), options_(options), timer_(executor_) {}

void isolation_check::wake() { timer_.cancel(); }

std::vector<routing::upstream_record> isolation_check::choose_upstreams() const {
  std::vector<routing::upstream_record> known;
  for (const directory::endpoint& entry : state_.upstreams.entries()) {
    known.push_back(entry.record);
  }
  for (std::size_t i = known.size(); i > 1; --i) {
    std::swap(known[i - 1], known[state_.random() % i]);
  }
  std::ranges::stable_partition(known, [&](const routing::upstream_record& one) {
    return !state_.isolation.is_unreachable(one.id);
  });
  known.resize(std::min(known.size(), options_.upstreams_per_check));
  return known;
}

asio::awaitable<void> isolation_check::check() {
  const auto attempts = std::make_shared<parallel_attempts>(executor_);
  const std::vector<routing::upstream_record> chosen = choose_upstreams();
  attempts->pending = chosen.size();
  state_.metrics.add("isolation_checks_total");
  for (const routing::upstream_record& upstream : chosen) {
    spawn_task(executor_, state_.log, "isolation_check",
               try_upstream(state_, executor_, upstream, attempts));
  }
  const base::instant until = state_.clock() + state_.options.remote_probe_timeout;
  // Without isolation one connection settles the matter; to end it, all results count.
  const bool needs_all = state_.isolation.isolated();
  while (attempts->pending > 0 && (needs_all || attempts->connected == 0) &&
         state_.clock() < until) {
    attempts->ended.expires_after(until - state_.clock());
    co_await attempts->ended.async_wait(no_throw);
  }
  state_.isolation.on_check(attempts->connected, chosen.size(), state_.clock());
}

void isolation_check::log_change() {
  const bool isolated = state_.isolation.isolated();
  if (isolated == logged_isolated_) {
    return;
  }
  logged_isolated_ = isolated;
  state_.metrics.set("isolated", isolated ? 1 : 0);
  state_.log.write(isolated ? "upstreams_unreachable" : "upstreams_reached",
                   {{"known", state_.upstreams.size()}});
  if (isolated && state_.on_isolated) {
    state_.on_isolated();
  }
}

asio::awaitable<void> isolation_check::run() {
  for (;;) {
    log_change();
    const bool needed =
        state_.isolation.isolated() || state_.isolation.suspected(state_.upstreams.size());
    if (needed && state_.upstreams.size() > 0) {
      co_await check();
      log_change();
      const base::instant until = state_.clock() + options_.interval;
      while (state_.clock() < until) {
        timer_.expires_after(until - state_.clock());
        co_await timer_.async_wait(no_throw);
      }
    } else {
      // wake() ends the wait.
      timer_.expires_after(std::chrono::seconds(1));
      co_await timer_.async_wait(no_throw);
    }
  }
}

}  // namespace catkintack::serving
