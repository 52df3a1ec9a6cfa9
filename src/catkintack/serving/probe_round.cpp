#include "catkintack/serving/probe_round.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "catkintack/serving/message_text.hpp"
#include "catkintack/serving/status.hpp"

namespace catkintack::serving {
namespace {

constexpr int most_connections_tried = 4;

}  // namespace

probe_round::probe_round(traffic_state& state, asio::any_io_executor executor)
    : state_(state), executor_(std::move(executor)), changed_(executor_) {}

bool probe_round::enough() const {
  return std::ranges::any_of(found_, [&](const choice::candidate& one) {
    return one.probe && !one.outlier && !one.warming_up &&
           one.distance != choice::upstream_distance::other_region &&
           one.probe->slowdown <= state_.options.good_slowness &&
           one.probe->running + one.probe->queued + one.sent_since_probe == 0;
  });
}

asio::awaitable<void> probe_round::run(std::vector<choice::candidate> planned,
                                       std::string health_path) {
  const base::instant began = state_.clock();
  const std::size_t first = found_.size();
  const bool remote = std::ranges::any_of(planned, [](const choice::candidate& one) {
    return one.distance == choice::upstream_distance::other_region;
  });
  const serving_options& options = state_.options;
  const base::duration longest = remote ? options.remote_probe_limit : options.probe_limit;
  const base::duration patience =
      options.probe_patience +
      (remote ? options.placement.estimate.region_round_trip : base::duration());
  found_.insert(found_.end(), planned.begin(), planned.end());
  pending_ += planned.size();
  for (std::size_t i = first; i < found_.size(); ++i) {
    asio::co_spawn(
        executor_,
        [self = shared_from_this(), i, path = health_path]() -> asio::awaitable<void> {
          co_await self->probe(i, path);
        },
        asio::detached);
  }
  const auto any_answer = [&] {
    return std::any_of(found_.begin() + static_cast<std::ptrdiff_t>(first), found_.end(),
                       [](const choice::candidate& one) { return one.probe.has_value(); });
  };
  while (pending_ > 0 && !enough()) {
    const base::duration spent = state_.clock() - began;
    const base::duration limit = any_answer() ? patience : longest;
    if (spent >= limit) {
      break;
    }
    changed_.expires_after(limit - spent);
    co_await changed_.async_wait(no_throw);
  }
}

asio::awaitable<std::unique_ptr<upstream_connection>> probe_round::open(const base::upstream_id& id,
                                                                        base::duration limit,
                                                                        bool& reused) {
  if (auto idle = state_.pool.take(id, state_.clock())) {
    reused = true;
    co_return idle;
  }
  reused = false;
  const auto* const known = state_.upstreams.find(id);
  if (known == nullptr) {
    co_return nullptr;
  }
  state_.metrics.add("upstream_connections_total");
  auto [made, error] = co_await connect_upstream(executor_, known->listed.record.where, id, limit);
  co_return std::move(made);
}

void probe_round::note_answer(const answer_parser& parser, choice::candidate& target) {
  const auto load = parser.get()[state_.options.protocol.load];
  target.probe = state_.options.protocol.read_load(view(load));
  if (!target.probe) {
    const auto* const known = state_.upstreams.find(target.id);
    if (known != nullptr) {
      if (parser.get().result_int() == status::ok) {
        state_.probes_without_load[known->listed.record.service] = true;
      }
      target.probe = choice::probe_result{.running = state_.sends.open(target.id),
                                          .queued = 0,
                                          .slots = known->listed.record.slots,
                                          .slowdown = 1.0};
    }
  }
  // Its own word may be wrong either way, so it only goes behind the others.
  target.outlier = target.outlier || parser.get().result_int() != status::ok;
}

asio::awaitable<bool> probe_round::ask(upstream_connection& connection,
                                       const std::string& health_path,
                                       base::duration limit,
                                       choice::candidate& target) {
  const auto remote = connection.stream.socket().remote_endpoint();
  const std::string text = std::move(head_writer::request("GET", health_path)
                                         .add("Host", remote.address().to_string() + ":" +
                                                          std::to_string(remote.port())))
                               .finish();
  connection.stream.expires_after(limit);
  auto [unsent, written] =
      co_await asio::async_write(connection.stream, asio::buffer(text), no_throw);
  if (unsent) {
    co_return false;
  }
  answer_parser parser;
  auto [unread, count] =
      co_await http::async_read_header(connection.stream, connection.buffer, parser, no_throw);
  if (unread) {
    co_return false;
  }
  constexpr std::size_t most_body = 64U << 10U;
  std::string body;
  if (co_await read_body(connection.stream, connection.buffer, parser, body, most_body)) {
    co_return false;
  }
  const upstream_protocol& names = state_.options.protocol;
  const auto named = parser.get()[names.upstream];
  const bool own = view(named) == target.id.value();
  // An id of a call marks a late answer to that call, not the probe's.
  if (!own || parser.get().count(names.request_id) > 0 || !parser.is_done()) {
    connection.close();
    co_return false;
  }
  note_answer(parser, target);
  if (!parser.keep_alive()) {
    connection.close();
  }
  co_return target.probe.has_value();
}

asio::awaitable<void> probe_round::probe(std::size_t position, std::string health_path) {
  choice::candidate target = found_[position];
  const base::duration limit = target.distance == choice::upstream_distance::other_region
                                   ? state_.options.remote_probe_limit
                                   : state_.options.probe_limit;
  state_.metrics.add("probes_total");
  std::unique_ptr<upstream_connection> connection;
  bool reused = true;
  bool answered = false;
  // An idle connection may be dead although the upstream is well; a new one decides.
  for (int left = most_connections_tried; left > 0 && reused && !answered; --left) {
    connection = co_await open(target.id, limit, reused);
    if (connection) {
      answered = co_await ask(*connection, health_path, limit, target);
    }
  }
  const base::instant now = state_.clock();
  if (!answered) {
    state_.metrics.add("probes_failed_total");
    state_.suspicion.on_failure(target.id, now);
    target.outlier = true;
  }
  --pending_;
  if (finished_) {
    if (answered) {
      state_.pool.give_back(std::move(connection), now);
    }
    co_return;
  }
  target.sent_since_probe = state_.sends.since(target.id, now);
  found_[position] = target;
  if (answered && connection->stream.socket().is_open()) {
    connections_[target.id] = std::move(connection);
  }
  changed_.cancel();
}

std::unique_ptr<upstream_connection> probe_round::take(const base::upstream_id& id) {
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
    state_.pool.give_back(std::move(connection), state_.clock());
  }
  connections_.clear();
}

}  // namespace catkintack::serving
