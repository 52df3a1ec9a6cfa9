#include "catkintack/serving/probe_round.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

#include "catkintack/serving/http_message.hpp"
#include "catkintack/serving/open_connection.hpp"
#include "catkintack/serving/status.hpp"
#include "catkintack/serving/task.hpp"
#include "catkintack/serving/upstream_notice.hpp"

namespace catkintack::serving {
namespace {

constexpr int max_connection_attempts = 4;

/// @brief Removes the reading of a candidate that turned out to be cold, unless this host has a
/// permit for it, so that it cannot be chosen.
void refresh_warm_up(const traffic_state& state, choice::candidate& target) {
  if (!state.is_cold(target.id)) {
    target.permitted = false;
    return;
  }
  target.warming_up = true;
  target.permitted = state.within_limit(target.id);
  if (!target.permitted) {
    target.probe.reset();
  }
}

}  // namespace

probe_round::probe_round(traffic_state& state, asio::any_io_executor executor)
    : state_(state), executor_(std::move(executor)), changed_(executor_) {}

bool probe_round::has_good_candidate() const {
  const bool awaits_permitted = std::ranges::any_of(candidates_, [](const choice::candidate& one) {
    return one.permitted && !one.probe && !one.outlier;
  });
  if (awaits_permitted) {
    return false;
  }
  return std::ranges::any_of(candidates_, [&](const choice::candidate& one) {
    return one.probe && !one.outlier && !one.warming_up &&
           one.distance != choice::upstream_distance::other_region &&
           one.probe->slowdown <= state_.options.good_slowness &&
           one.probe->running + one.probe->queued + one.sent_since_probe == 0;
  });
}

asio::awaitable<void> probe_round::run_probe(std::shared_ptr<probe_round> self,
                                             std::size_t index,
                                             std::string health_path) {
  const pending_probe counted(*self);
  co_await self->probe(index, std::move(health_path));
}

asio::awaitable<void> probe_round::run(std::vector<choice::candidate> planned,
                                       std::string health_path) {
  const base::instant began = state_.clock();
  const std::size_t first = candidates_.size();
  const bool remote = std::ranges::any_of(planned, [](const choice::candidate& one) {
    return one.distance == choice::upstream_distance::other_region;
  });
  const serving_options& options = state_.options;
  const base::duration timeout = remote ? options.remote_probe_timeout : options.probe_timeout;
  const base::duration gather_time =
      options.probe_gather_time +
      (remote ? options.placement.estimate.region_round_trip : base::duration());
  candidates_.insert(candidates_.end(), planned.begin(), planned.end());
  pending_ += planned.size();
  for (std::size_t i = first; i < candidates_.size(); ++i) {
    spawn_task(executor_, state_.log, "probe", run_probe(shared_from_this(), i, health_path));
  }
  const auto any_answer = [&] {
    return std::any_of(candidates_.begin() + static_cast<std::ptrdiff_t>(first), candidates_.end(),
                       [](const choice::candidate& one) { return one.probe.has_value(); });
  };
  while (pending_ > 0 && !has_good_candidate()) {
    const base::duration spent = state_.clock() - began;
    const base::duration limit = any_answer() ? gather_time : timeout;
    if (spent >= limit) {
      break;
    }
    changed_.expires_after(limit - spent);
    co_await changed_.async_wait(no_throw);
  }
}

asio::awaitable<std::unique_ptr<upstream_connection>>
probe_round::connect(const base::upstream_id& id, base::duration limit, bool& reused) {
  if (auto idle = state_.pool.take(id, state_.clock())) {
    reused = true;
    co_return idle;
  }
  reused = false;
  const auto* const endpoint = state_.upstreams.find(id);
  if (endpoint == nullptr) {
    co_return nullptr;
  }
  co_return co_await open_connection(state_, executor_, endpoint->listed.record.where, id, limit);
}

void probe_round::record_response(const http::fields& fields,
                                  unsigned code,
                                  choice::candidate& target) {
  const auto load = fields[state_.options.protocol.load];
  target.probe = state_.options.protocol.read_load(to_string_view(load));
  const auto* const endpoint = state_.upstreams.find(target.id);
  if (endpoint != nullptr && target.probe) {
    state_.service_statistics.on_probe(endpoint->listed.record.service, *target.probe);
  } else if (endpoint != nullptr) {
    if (code == status::ok) {
      state_.probes_without_load[endpoint->listed.record.service] = true;
    }
    target.probe = choice::probe_result{.running = state_.in_flight.count(target.id),
                                        .queued = 0,
                                        .slots = endpoint->listed.record.slots,
                                        .slowdown = 1.0};
  }
  // The upstream's own health status may be wrong in both directions, so a failed one only lowers
  // its rank.
  target.outlier = target.outlier || code != status::ok;
}

asio::awaitable<bool> probe_round::send_probe(upstream_connection& connection,
                                              const std::string& health_path,
                                              base::duration limit,
                                              choice::candidate& target) {
  error_code gone;
  const auto remote = connection.stream.socket().remote_endpoint(gone);
  if (gone) {
    co_return false;
  }
  const std::string text = std::move(head_writer::request("GET", health_path)
                                         .add("Host", remote.address().to_string() + ":" +
                                                          std::to_string(remote.port())))
                               .finish();
  connection.stream.expires_after(limit);
  auto [send_error, written] =
      co_await asio::async_write(connection.stream, asio::buffer(text), no_throw);
  if (send_error) {
    co_return false;
  }
  response_parser parser;
  if (co_await read_response_head(connection.stream, connection.buffer, parser)) {
    co_return false;
  }
  // Copied before the body is read: the parser adds trailers to the headers.
  const http::fields fields = parser.get().base();
  const unsigned code = parser.get().result_int();
  constexpr std::size_t max_body = 64U << 10U;
  std::string body;
  if (co_await read_body(connection.stream, connection.buffer, parser, body, max_body)) {
    co_return false;
  }
  const upstream_protocol& names = state_.options.protocol;
  const auto named = fields[names.upstream];
  const bool from_target = to_string_view(named) == target.id.value();
  // A response with a request id is a late response to an earlier call, not to the probe.
  // After an informational response, the one to the probe is still to come.
  if (!from_target || fields.count(names.request_id) > 0 || !parser.is_done() ||
      code < status::ok) {
    connection.close();
    co_return false;
  }
  apply_notice(state_, target.id, read_notice(code, fields, names), notice_source::probe);
  if (!state_.accepts_requests(target.id)) {
    connection.close();
    co_return false;
  }
  record_response(fields, code, target);
  // A copy of a refused probe could be taken for the refusal of a later call.
  const bool refused = fields.count(names.not_run) > 0 || code == status::misdirected;
  if (!parser.keep_alive() || refused) {
    connection.close();
  }
  const bool answered = target.probe.has_value();
  refresh_warm_up(state_, target);
  co_return answered;
}

asio::awaitable<void> probe_round::probe(std::size_t index, std::string health_path) {
  choice::candidate target = candidates_[index];
  const base::duration limit = target.distance == choice::upstream_distance::other_region
                                   ? state_.options.remote_probe_timeout
                                   : state_.options.probe_timeout;
  state_.metrics.add("probes_total");
  std::unique_ptr<upstream_connection> connection;
  bool reused = true;
  bool answered = false;
  // A pooled connection may be dead although the upstream is healthy, so the probe is repeated
  // until it has been tried on a new connection.
  for (int left = max_connection_attempts;
       left > 0 && reused && !answered && state_.accepts_requests(target.id); --left) {
    connection = co_await connect(target.id, limit, reused);
    if (connection) {
      answered = co_await send_probe(*connection, health_path, limit, target);
    }
  }
  const base::instant now = state_.clock();
  if (answered) {
    state_.last_upstream_response = now;
  }
  if (!answered && state_.accepts_requests(target.id)) {
    state_.metrics.add("probes_failed_total");
    state_.outlier_detector.on_failure(target.id, now);
    target.outlier = true;
  }
  if (finished_) {
    if (answered) {
      state_.pool.release(std::move(connection), now);
    }
    co_return;
  }
  target.sent_since_probe = state_.in_flight.started_after(target.id, now);
  candidates_[index] = target;
  if (answered && connection->stream.socket().is_open()) {
    connections_[target.id] = std::move(connection);
  }
}

std::unique_ptr<upstream_connection> probe_round::take_connection(const base::upstream_id& id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return nullptr;
  }
  auto result = std::move(found->second);
  connections_.erase(found);
  return result;
}

void probe_round::finish() {
  finished_ = true;
  for (auto& [id, connection] : connections_) {
    state_.pool.release(std::move(connection), state_.clock());
  }
  connections_.clear();
}

}  // namespace catkintack::serving
