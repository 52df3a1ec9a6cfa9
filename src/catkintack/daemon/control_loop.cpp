#include "catkintack/daemon/control_loop.hpp"

#include <utility>

#include "catkintack/daemon/log.hpp"
#include "catkintack/net/peer_codec.hpp"

namespace catkintack::daemon {
namespace {

constexpr base::duration tick_interval = std::chrono::milliseconds(5);
constexpr base::duration heartbeat_interval = std::chrono::milliseconds(500);

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
      peers_({}),
      thread_([this] { run(); }) {}

control_loop::~control_loop() { stop(); }

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
  changed_.notify_one();
}

void control_loop::run() {
  base::instant next_heartbeat = clock_();
  worker_.on_demand([this](const gateway::publish_demand& action) {
    metrics_.add("demand_reports_sent_total");
    broadcast(net::peer_notice_kind::demand, net::encode(action.report));
  });
  while (!stopping_) {
    std::deque<task> due;
    {
      std::unique_lock lock(mutex_);
      changed_.wait_for(lock, tick_interval, [this] { return !tasks_.empty(); });
      due.swap(tasks_);
    }
    for (const task& work : due) {
      work();
    }
    worker_.submit(gateway::tick{});
    if (clock_() >= next_heartbeat) {
      next_heartbeat = clock_() + heartbeat_interval;
      heartbeat();
    }
  }
}

void control_loop::on_datagram(std::string payload) {
  post([this, payload = std::move(payload)] { receive(payload); });
}

void control_loop::on_hosts(net::host_list hosts) {
  post([this, hosts = std::move(hosts)] {
    hosts_ = hosts;
    worker_.submit(gateway::upstreams_listed{hosts.upstreams});
    publish();
  });
}

void control_loop::on_lists(config::shared_lists lists) {
  post([this, lists = std::move(lists)] { adopt(lists); });
}

void control_loop::leave() {
  post([this] {
    leaving_ = true;
    events_.record("membership", "leaving");
    heartbeat();
    publish();
  });
}

control_status control_loop::status() const {
  const std::lock_guard lock(mutex_);
  return status_;
}

void control_loop::heartbeat() {
  membership::heartbeat message;
  message.host = options_.host;
  message.run = options_.run;
  message.sequence = ++heartbeat_sequence_;
  message.leaving = leaving_;
  if (lists_) {
    message.plans = lists_->plans().version;
    message.allowances = lists_->allowances().version;
  }
  broadcast(net::peer_notice_kind::heartbeat, net::encode(message));
  const auto live = peers_.live(clock_());
  metrics_.set("live_peers", static_cast<double>(live.size()));
  worker_.submit(gateway::fleet_sized{static_cast<std::uint32_t>(live.size() + 1)});
  publish();
}

void control_loop::broadcast(net::peer_notice_kind kind, std::string body) {
  const net::peer_notice notice{kind, options_.host, options_.run, events_.stamp(),
                                std::move(body)};
  const std::string payload = net::encode(notice);
  for (const membership::gateway_record& peer : hosts_.gateways) {
    if (peer.host != options_.host) {
      options_.send_datagram(peer.peers, payload);
    }
  }
}

void control_loop::receive(const std::string& payload) {
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
  peers_.on_heartbeat(clock_(), message.value());
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

void control_loop::adopt(const config::shared_lists& lists) {
  const bool newer = !lists_ || lists->plans().version > lists_->plans().version ||
                     lists->allowances().version > lists_->allowances().version;
  if (!newer) {
    return;
  }
  lists_ = lists;
  worker_.submit(gateway::lists_adopted{lists});
  log(log_level::info, "config", "lists adopted.");
  publish();
}

void control_loop::publish() {
  control_status next;
  next.ready = lists_ && !hosts_.upstreams.empty() && !leaving_;
  next.leaving = leaving_;
  if (lists_) {
    next.plans = lists_->plans().version;
    next.allowances = lists_->allowances().version;
  }
  for (const membership::peer_state& peer : peers_.live(clock_())) {
    next.peers.push_back(peer.last);
  }
  const std::lock_guard lock(mutex_);
  status_ = std::move(next);
}

}  // namespace catkintack::daemon
