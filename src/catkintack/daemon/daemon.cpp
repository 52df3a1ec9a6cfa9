#include "catkintack/daemon/daemon.hpp"

#include <thread>
#include <utility>

#include "catkintack/base/breach.hpp"
#include "catkintack/logging/log.hpp"
#include "catkintack/net/http_store.hpp"

namespace catkintack::daemon {
namespace {

namespace leaf = boost::leaf;

constexpr base::duration stop_poll_interval = std::chrono::milliseconds(10);
constexpr std::uint64_t datagram_overhead_bytes = 32 + 8 + 20;  // Digest, UDP and IP headers.
constexpr base::duration leave_announcement_period = std::chrono::milliseconds(1500);
constexpr base::duration hand_over_timeout = std::chrono::seconds(5);  // Added to the stop limit.

std::unique_ptr<gateway::gateway> make_core(const settings& settings,
                                            base::incarnation run,
                                            base::event_log& events) {
  gateway::gateway_options options;
  options.routing.region = settings.region;
  options.routing.failure_domain = settings.failure_domain;
  options.default_time_left = settings.default_time_left;
  options.max_attempts = settings.max_attempts;
  options.self = {settings.host, run};
  return std::make_unique<gateway::gateway>(
      options, base::seeded_random_hook(base::entropy_seed()),
      [&events](std::string part, std::string kind, const base::request_id& request,
                std::vector<base::event_field> fields) {
        events.record(std::move(part), std::move(kind), request, std::move(fields));
      });
}

}  // namespace

daemon::daemon(const settings& settings, base::incarnation run)
    : settings_(settings),
      run_(run),
      clock_(base::system_clock_hook()),
      events_({settings.host, run}, base::system_wall_clock_hook()),
      peer_calls_(std::make_unique<peer_calls>(delivery::host_incarnation{settings.host, run},
                                               settings.peer_key,
                                               directory_,
                                               clock_)),
      worker_(std::make_unique<call_worker>(make_core(settings, run, events_),
                                            clock_,
                                            [this](const base::host_id& host,
                                                   const gateway::call_arrived& event,
                                                   const net::upstream_request& request,
                                                   base::instant deadline) {
                                              return peer_calls_->forward(host, event, request,
                                                                          deadline);
                                            })) {}

leaf::result<std::unique_ptr<daemon>> daemon::start(const settings& settings,
                                                    base::incarnation run) {
  std::unique_ptr<daemon> started(new daemon(settings, run));
  BOOST_LEAF_CHECK(started->open());
  return started;
}

leaf::result<void> daemon::open() {
  control_loop_options options;
  options.host = settings_.host;
  options.region = settings_.region;
  options.run = run_;
  base::metric_counter& bytes_sent = metrics_.counter("peer_bytes_sent_total");
  options.send_datagram = [this, &bytes_sent](const base::address& to, const std::string& payload) {
    bytes_sent.add(payload.size() + datagram_overhead_bytes);
    datagrams_->send(to, payload);
  };
  options.read_store = [this](config::list_kind kind) { list_io_->read(kind); };
  options.watch_store = [this](const config::watch_store& watch) {
    list_io_->watch(watch.kind, watch.after_revision, watch.wait);
  };
  options.fetch_lists = [this](const base::host_id& from, const base::address& where,
                               const config::list_stamps& in_force) {
    list_io_->fetch(from, where, in_force);
  };
  open_list_io();
  control_ =
      std::make_unique<control_loop>(std::move(options), *worker_, events_, metrics_, clock_);
  auto datagrams = net::peer_datagram_socket::open(
      settings_.peers, settings_.peer_key,
      [this](std::string payload) { control_->on_datagram(std::move(payload)); });
  if (!datagrams) {
    return leaf::new_error(
        daemon_error{"cannot bind UDP address " + base::to_string(settings_.peers)});
  }
  datagrams_ = std::move(datagrams.value());
  control_->start();
  host_list_hooks hooks;
  hooks.on_host_list = [this](net::host_list hosts) {
    directory_.update(hosts.gateways);
    control_->on_host_list(std::move(hosts));
  };
  hooks.on_host_list_unchanged = [this] { control_->on_host_list_unchanged(); };
  host_list_poller_ = std::make_unique<host_list_poller>(settings_.host_list, std::move(hooks));
  BOOST_LEAF_CHECK(open_peer_server());
  const delivery::host_incarnation self{settings_.host, run_};
  BOOST_LEAF_ASSIGN(traffic_, traffic_server::open(settings_, self, *worker_, metrics_));
  BOOST_LEAF_ASSIGN(admin_,
                    open_admin_server(settings_.admin,
                                      {settings_.host, run_, [this] { return control_->status(); },
                                       &events_, &metrics_}));
  return {};
}

leaf::result<void> daemon::open_peer_server() {
  net::peer_server_options options;
  options.listen_address = settings_.peers;
  options.key = settings_.peer_key;
  const auto answer_call = [this](const net::peer_request& request) {
    return peer_calls_->answer(*worker_, request);
  };
  dispatcher_.set_handler(net::peer_request_kind::forward_call, answer_call);
  dispatcher_.set_handler(net::peer_request_kind::hand_over, answer_call);
  dispatcher_.set_handler(net::peer_request_kind::fetch_lists,
                          [this](const net::peer_request& request) {
                            return answer_fetch(control_->status().bodies, request);
                          });
  auto server = net::peer_server::open(
      options, [this](const net::peer_request& request) { return dispatcher_.handle(request); });
  if (!server) {
    return leaf::new_error(
        daemon_error{"cannot listen on TCP address " + base::to_string(settings_.peers)});
  }
  peer_server_ = std::move(server.value());
  return {};
}

void daemon::wait_for_open_calls(base::instant deadline) {
  const base::instant announcement_end = clock_() + leave_announcement_period;
  while (clock_() < deadline && (clock_() < announcement_end || worker_->open_calls() > 0)) {
    std::this_thread::sleep_for(stop_poll_interval);
  }
}

void daemon::hand_over(base::instant deadline) {
  worker_->submit(gateway::stop_begun{});
  std::vector<base::host_id> candidates;
  for (const membership::heartbeat& peer : control_->status().peers) {
    candidates.push_back(peer.host);
  }
  const auto successor = peer_calls_->hand_over(*worker_, candidates, deadline);
  logging::log(logging::log_level::info, "daemon",
               successor ? "finished ids handed over to " + successor->value() + "."
                         : "finished ids handed over to no host.");
}

void daemon::open_list_io() {
  list_io_hooks hooks;
  hooks.on_value = [this](std::uint64_t revision, config::list_body body) {
    control_->on_store_value(revision, std::move(body));
  };
  hooks.on_unchanged = [this](config::list_kind kind) { control_->on_store_unchanged(kind); };
  hooks.on_store_failed = [this](config::list_kind kind) { control_->on_store_failed(kind); };
  hooks.on_fetched = [this](std::vector<config::list_body> bodies) {
    control_->on_fetched(std::move(bodies));
  };
  hooks.on_fetch_failed = [this](base::host_id from) {
    control_->on_fetch_failed(std::move(from));
  };
  list_io_ = std::make_unique<list_io>(list_io_options{settings_.host, run_, settings_.peer_key},
                                       net::make_http_store({settings_.store}), metrics_,
                                       std::move(hooks));
}

daemon::~daemon() {
  if (control_) {
    // The loop uses members that are declared after it and so destroyed before it.
    control_->stop();
  }
}

std::size_t daemon::stop() {
  logging::log(logging::log_level::info, "daemon", "stop requested: host is leaving.");
  control_->leave();
  traffic_->set_leaving();
  const base::instant deadline = clock_() + leave_announcement_period + settings_.stop_limit;
  worker_->submit(gateway::leave_begun{deadline});
  wait_for_open_calls(deadline);
  const std::size_t open = worker_->open_calls();
  if (open > 0) {
    events_.record("daemon", std::string(base::breach::calls_cut), {},
                   {{"calls", std::to_string(open)}});
    logging::log(logging::log_level::error, "daemon",
                 "stop limit reached; cut off " + std::to_string(open) + " open calls.");
  }
  hand_over(deadline + hand_over_timeout);
  traffic_.reset();
  peer_server_.reset();
  admin_.reset();
  host_list_poller_.reset();
  control_->stop();  // It sends through datagrams_, which in turn posts to it.
  list_io_.reset();
  datagrams_.reset();
  control_.reset();
  logging::log(logging::log_level::info, "daemon",
               "stopped with " + std::to_string(open) + " calls open.");
  return open;
}

}  // namespace catkintack::daemon
