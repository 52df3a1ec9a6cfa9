#include "catkintack/daemon/control_loop.hpp"

#include <utility>

#include "catkintack/config/list_codec.hpp"
#include "catkintack/logging/log.hpp"
#include "catkintack/net/peer_codec.hpp"

namespace catkintack::daemon {
namespace {

constexpr base::duration busy_tick_interval = std::chrono::milliseconds(5);
constexpr base::duration idle_tick_interval = std::chrono::milliseconds(50);
constexpr base::duration heartbeat_interval = std::chrono::milliseconds(500);
constexpr base::duration max_host_list_age = std::chrono::seconds(2);
constexpr base::duration list_tick_interval = std::chrono::milliseconds(50);
constexpr std::size_t datagram_overhead_bytes = 60;  // Digest, UDP and IP headers.

membership::peer_tracker_options peer_tracker_options_of(const control_loop_options& options) {
  membership::peer_tracker_options result;
  result.host = options.host;
  result.interval = heartbeat_interval;
  return result;
}

config::list_sync_options list_sync_options_of(const control_loop_options& options) {
  config::list_sync_options result;
  result.host = options.host;
  result.region = options.region;
  return result;
}

}  // namespace

control_loop::control_loop(control_loop_options options,
                           call_worker& worker,
                           base::event_log& events,
                           base::metric_registry& metrics,
                           base::clock_hook clock)
    : options_(std::move(options)),
      worker_(worker),
      events_(events),
      metrics_(metrics),
      clock_(std::move(clock)),
      peers_(peer_tracker_options_of(options_)),
      list_sync_(list_sync_options_of(options_), base::seeded_random_hook(base::entropy_seed())) {}

control_loop::~control_loop() { stop(); }

void control_loop::start() {
  thread_ = std::thread([this] { run(); });
}

void control_loop::stop() {
  if (thread_.joinable()) {
    post([this] { stopping_ = true; });
    thread_.join();
  }
}

void control_loop::post(task work) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(work));
  }
  tasks_changed_.notify_one();
}

void control_loop::run() {
  base::instant next_heartbeat = clock_();
  worker_.set_demand_hook([this](const gateway::publish_demand& action) {
    metrics_.add("demand_reports_sent_total");
    broadcast(net::peer_notice_kind::demand, net::encode(action.report));
  });
  base::instant next_lists = next_heartbeat;
  while (!stopping_) {
    std::deque<task> due;
    {
      std::unique_lock lock(mutex_);
      const bool busy = worker_.open_calls() > 0;
      tasks_changed_.wait_for(lock, busy ? busy_tick_interval : idle_tick_interval,
                              [this] { return !tasks_.empty(); });
      due.swap(tasks_);
    }
    for (const task& work : due) {
      work();
    }
    worker_.submit(gateway::tick{});
    if (clock_() >= next_lists) {
      next_lists = clock_() + list_tick_interval;
      tick_peers_and_lists();
    }
    if (clock_() >= next_heartbeat) {
      next_heartbeat = clock_() + heartbeat_interval;
      run_heartbeat();
    }
  }
}

void control_loop::on_datagram(std::string payload) {
  post([this, payload = std::move(payload)] { receive_datagram(payload); });
}

void control_loop::on_host_list_unchanged() {
  post([this] { host_list_read_at_ = clock_(); });
}

void control_loop::on_host_list(net::host_list hosts) {
  post([this, hosts = std::move(hosts)] {
    host_list_read_at_ = clock_();
    host_list_ = hosts;
    peers_.on_hosts(host_list_.gateways);
    worker_.submit(gateway::upstreams_listed{hosts.upstreams});
    publish_status();
  });
}

void control_loop::on_store_value(std::uint64_t revision, config::list_body body) {
  post([this, revision, body = std::move(body)] {
    apply(list_sync_.on_store_value(revision, body));
  });
}

void control_loop::on_store_unchanged(config::list_kind kind) {
  post([this, kind] { apply(list_sync_.on_store_unchanged(kind)); });
}

void control_loop::on_store_failed(config::list_kind kind) {
  post([this, kind] { apply(list_sync_.on_store_failed(clock_(), kind)); });
}

void control_loop::on_fetched(std::vector<config::list_body> bodies) {
  post([this, bodies = std::move(bodies)] { apply(list_sync_.on_fetched(bodies)); });
}

void control_loop::on_fetch_failed(base::host_id from) {
  post([this, from = std::move(from)] { apply(list_sync_.on_fetch_failed(clock_(), from)); });
}

void control_loop::leave() {
  post([this] {
    leaving_ = true;
    events_.record("membership", "leaving");
    send_heartbeat(peers_.listed_peers());
    publish_status();
  });
}

control_status control_loop::status() const {
  const std::lock_guard lock(mutex_);
  return status_;
}

void control_loop::run_heartbeat() {
  send_heartbeat(peers_.next_heartbeat_targets());
  const auto live = peers_.live_peers();
  metrics_.set("live_peers", static_cast<double>(live.size()));
  const bool listed = clock_() - host_list_read_at_ < max_host_list_age;
  worker_.submit(gateway::host_count_changed{
      static_cast<std::uint32_t>(live.size() + 1),
      listed ? static_cast<std::uint32_t>(host_list_.gateways.size()) : 0});
  const routing::probe_cost spent = worker_.probe_spending();
  metrics_.set("probe_bytes_total", spent.bytes);
  metrics_.set("probe_upstream_ms_total", spent.upstream_ms);
  publish_status();
}

void control_loop::send_heartbeat(const std::vector<membership::gateway_record>& targets) {
  membership::heartbeat message;
  message.host = options_.host;
  message.run = options_.run;
  message.sequence = ++heartbeat_sequence_;
  message.leaving = leaving_;
  message.in_force = list_sync_.in_force();
  send(targets, net::peer_notice_kind::heartbeat, net::encode(message));
}

void control_loop::broadcast(net::peer_notice_kind kind, std::string body) {
  send(peers_.listed_peers(), kind, std::move(body));
}

void control_loop::send(const std::vector<membership::gateway_record>& targets,
                        net::peer_notice_kind kind,
                        std::string body) {
  const net::peer_notice notice{kind, options_.host, options_.run, events_.stamp(),
                                std::move(body)};
  const std::string payload = net::encode(notice);
  for (const membership::gateway_record& peer : targets) {
    options_.send_datagram(peer.peers, payload);
  }
  metrics_.add("peer_datagrams_total{way=\"out\"}", targets.size());
}

void control_loop::tick_peers_and_lists() {
  const base::instant now = clock_();
  peers_.tick(now);
  record_peer_changes();
  apply(list_sync_.tick(now, list_peers()));
}

std::vector<config::list_peer> control_loop::list_peers() const {
  std::vector<config::list_peer> peers;
  for (const membership::peer_state& peer : peers_.live_peers()) {
    peers.push_back({peer.last_heartbeat.host, peer.record.region, peer.heard_at,
                     peer.last_heartbeat.in_force});
  }
  return peers;
}

void control_loop::record_peer_changes() {
  for (const membership::peer_change& change : peers_.take_changes()) {
    events_.record("membership", "peer_" + std::string(to_string(change.health)), {},
                   {{"peer", change.host.value()}, {"run", std::to_string(change.run.value())}});
  }
}

void control_loop::apply(const std::vector<config::list_action>& actions) {
  for (const config::list_action& action : actions) {
    std::visit([this](const auto& concrete) { perform(concrete); }, action);
  }
}

void control_loop::perform(const config::read_store& action) { options_.read_store(action.kind); }

void control_loop::perform(const config::watch_store& action) { options_.watch_store(action); }

void control_loop::perform(const config::fetch_lists& action) {
  for (const membership::gateway_record& target : peers_.listed_peers()) {
    if (target.host == action.from) {
      options_.fetch_lists(action.from, target.peers, list_sync_.in_force());
      return;
    }
  }
  apply(list_sync_.on_fetch_failed(clock_(), action.from));
}

void control_loop::perform(const config::adopt_list& action) {
  const config::list_body& body = *action.body;
  events_.record("config", "adopted", {},
                 {{"list", to_string(body.kind)},
                  {"version", std::to_string(body.stamp.version.value())},
                  {"edit", std::to_string(body.stamp.edit.value())}});
  logging::log(logging::log_level::info, "config",
               std::string(to_string(body.kind)) + " version " +
                   std::to_string(body.stamp.version.value()) + " is in force.");
  submit_lists();
  send_heartbeat(peers_.listed_peers());
  publish_status();
}

void control_loop::perform(const config::record_event& action) {
  events_.record("config", action.kind, {}, action.fields);
  logging::log(logging::log_level::info, "config", action.kind + ".");
  publish_status();
}

void control_loop::submit_lists() {
  const auto& bodies = list_sync_.bodies();
  const config::shared_body& plans = bodies.at(index_of(config::list_kind::plans));
  const config::shared_body& allowances = bodies.at(index_of(config::list_kind::allowances));
  if (!plans || !allowances) {
    return;
  }
  lists_ = config::make_lists(*plans, *allowances);
  worker_.submit(gateway::lists_adopted{lists_});
}

void control_loop::receive_datagram(const std::string& payload) {
  metrics_.add("peer_datagrams_total{way=\"in\"}");
  metrics_.add("peer_bytes_total{way=\"in\"}", payload.size() + datagram_overhead_bytes);
  const auto notice = net::decode<net::peer_notice>(payload);
  if (!notice) {
    metrics_.add("peer_datagrams_malformed_total");
    return;
  }
  events_.observe(notice.value().time);
  switch (notice.value().kind) {
    case net::peer_notice_kind::heartbeat:
      receive_heartbeat(notice.value().body);
      return;
    case net::peer_notice_kind::demand:
      receive_demand(notice.value());
      return;
  }
  metrics_.add("peer_datagrams_malformed_total");
}

void control_loop::receive_heartbeat(const std::string& body) {
  const auto message = net::decode<membership::heartbeat>(body);
  if (!message) {
    metrics_.add("peer_datagrams_malformed_total");
    return;
  }
  if (peers_.on_heartbeat(clock_(), message.value())) {
    tick_peers_and_lists();
  }
}

void control_loop::receive_demand(const net::peer_notice& notice) {
  auto report = net::decode<limits::demand_report>(notice.body);
  if (!report) {
    metrics_.add("peer_datagrams_malformed_total");
    return;
  }
  report.value().run = notice.run;
  metrics_.add("demand_reports_received_total");
  worker_.submit(gateway::peer_demand_received{notice.sender, std::move(report.value())});
}

void control_loop::publish_status() {
  control_status next;
  next.ready = lists_ && list_sync_.caught_up() && !host_list_.upstreams.empty() && !leaving_;
  next.leaving = leaving_;
  next.caught_up = list_sync_.caught_up();
  next.watching = list_sync_.watching();
  next.in_force = list_sync_.in_force();
  next.bodies = list_sync_.bodies();
  for (const membership::peer_state& peer : peers_.live_peers()) {
    next.peers.push_back(peer.last_heartbeat);
  }
  const std::lock_guard lock(mutex_);
  status_ = std::move(next);
}

}  // namespace catkintack::daemon
