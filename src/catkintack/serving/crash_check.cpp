#include "catkintack/serving/crash_check.hpp"

#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "catkintack/serving/open_connection.hpp"

namespace catkintack::serving {
namespace {

// Upstreams that are tried to see whether this host reaches any.
constexpr int max_control_connections = 3;
// Time in which the entry of an upstream that was started anew reaches this host.
constexpr base::duration restart_notice_time = std::chrono::seconds(2);

/// @brief Opens a connection to an upstream and keeps it for later calls.
asio::awaitable<bool> can_connect(traffic_state& state,
                                  asio::any_io_executor executor,
                                  base::address where,
                                  base::upstream_id id,
                                  base::duration limit) {
  auto connection = co_await open_connection(state, executor, std::move(where), id, limit);
  const bool connected = connection != nullptr;
  state.pool.release(std::move(connection), state.clock());
  co_return connected;
}

asio::awaitable<bool> reaches_other_upstreams(traffic_state& state,
                                              asio::any_io_executor executor,
                                              const lost_call& lost) {
  for (int left = max_control_connections; left > 0; --left) {
    if (state.last_upstream_response > lost.lost_at) {
      co_return true;
    }
    const std::vector<directory::endpoint> known = state.upstreams.entries();
    if (known.empty()) {
      co_return false;
    }
    const routing::upstream_record other = known[state.random() % known.size()].record;
    if (other.id == lost.upstream.upstream) {
      continue;
    }
    const bool connected = co_await can_connect(state, executor, other.where, other.id,
                                                state.options.remote_probe_timeout);
    if (connected) {
      co_return true;
    }
  }
  co_return state.last_upstream_response > lost.lost_at;
}

asio::awaitable<bool> was_started_anew(traffic_state& state,
                                       asio::any_io_executor executor,
                                       const choice::crash_id& upstream) {
  asio::steady_timer timer(executor);
  timer.expires_after(restart_notice_time);
  co_await timer.async_wait(no_throw);
  const auto* const entry = state.upstreams.find(upstream.upstream);
  co_return entry != nullptr && entry->listed.run > upstream.run;
}

void record_crash(traffic_state& state, const lost_call& lost, const char* evidence) {
  const base::instant now = state.clock();
  if (!state.crashes.add(lost.request, lost.upstream, now)) {
    return;
  }
  state.metrics.add("calls_lost_in_crashes_total");
  state.log.write("call_lost_in_crash", {{"fingerprint", lost.request.value()},
                                         {"upstream", lost.upstream.upstream.value()},
                                         {"run", lost.upstream.run.value()},
                                         {"why", evidence},
                                         {"age_us", (now - lost.lost_at).count()}});
  state.notify_crashes_changed();
}

}  // namespace

lost_call describe_lost_call(const traffic_state& state,
                             const call& served,
                             const base::upstream_id& upstream) {
  lost_call result{.request = served.fingerprint,
                   .upstream = {.upstream = upstream, .run = {}},
                   .where = {},
                   .lost_at = state.clock()};
  if (const auto* const entry = state.upstreams.find(upstream)) {
    result.upstream.run = entry->listed.run;
    result.where = entry->listed.record.where;
    result.remote = entry->listed.record.region != state.options.region;
  }
  return result;
}

asio::awaitable<void> check_for_crash(traffic_state& state,
                                      asio::any_io_executor executor,
                                      lost_call lost) {
  if (lost.where.port == 0) {
    co_return;
  }
  const base::duration limit =
      lost.remote ? state.options.remote_probe_timeout : state.options.probe_timeout;
  const bool reachable =
      co_await can_connect(state, executor, lost.where, lost.upstream.upstream, limit);
  if (reachable) {
    const bool anew = co_await was_started_anew(state, executor, lost.upstream);
    if (anew) {
      record_crash(state, lost, "started anew");
    }
    co_return;
  }
  const bool others = co_await reaches_other_upstreams(state, executor, lost);
  if (others) {
    record_crash(state, lost, "refuses connections");
  } else {
    state.metrics.add("crash_checks_undecided_total");
  }
}

void on_request_answered(traffic_state& state, const base::request_fingerprint& request) {
  if (const auto cleared = state.crashes.on_answered(request, state.clock())) {
    state.log.write("request_cleared", {{"fingerprint", request.value()},
                                        {"crashes", cleared->crashes.size()},
                                        {"why", "an upstream answered it"}});
    if (state.on_request_cleared) {
      state.on_request_cleared(*cleared);
    }
  }
}

}  // namespace catkintack::serving
