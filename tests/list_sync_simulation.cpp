#include "list_sync_simulation.hpp"

#include <algorithm>

namespace catkintack::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::duration time_step = milliseconds(50);
constexpr base::duration heartbeat_interval = milliseconds(500);
constexpr base::duration store_timeout = seconds(2);
constexpr base::duration watch_poll_interval = milliseconds(5);
constexpr unsigned percent = 100;

config::list_body parse_body_or_empty(config::list_kind kind, const std::string& text) {
  return boost::leaf::try_handle_all([&] { return config::parse_body(kind, text); },
                                     [kind] {
                                       return config::list_body{kind, {}, ""};
                                     });
}

}  // namespace

list_sync_simulation::list_sync_simulation(std::size_t count,
                                           std::size_t regions,
                                           std::uint64_t seed)
    : hosts(count), random_(base::seeded_random_hook(seed)) {
  for (std::size_t index = 0; index < count; ++index) {
    hosts[index].id = base::host_id("gw-" + std::to_string(index));
    hosts[index].region = base::region_id("region-" + std::to_string(index % regions));
  }
}

void list_sync_simulation::start(std::size_t index) {
  simulated_host& host = hosts[index];
  host.started = true;
  host.paused = false;
  host.incarnation = base::incarnation(++last_incarnation_);
  host.sequence = 0;
  host.highest_in_force = {};
  host.deferred_messages.clear();
  config::list_sync_options options;
  options.host = host.id;
  options.region = host.region;
  host.lists = std::make_unique<config::list_sync>(options, base::seeded_random_hook(random_()));
  membership::peer_tracker_options tracker_options;
  tracker_options.host = host.id;
  host.peers = std::make_unique<membership::peer_tracker>(tracker_options);
  std::vector<membership::gateway_record> listed;
  for (const simulated_host& other : hosts) {
    membership::gateway_record record;
    record.host = other.id;
    record.region = other.region;
    listed.push_back(record);
  }
  host.peers->on_hosts(listed);
  host.next_heartbeat = now_;
}

void list_sync_simulation::start_all() {
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    start(index);
  }
}

void list_sync_simulation::run(base::duration span) {
  const base::instant end = now_ + span;
  while (now_ < end) {
    const base::instant next = now_ + time_step;
    while (!pending_.empty() && pending_.begin()->first <= next) {
      auto due = pending_.extract(pending_.begin());
      now_ = std::max(now_, due.key());
      ++deliveries;
      simulated_host& host = hosts[due.mapped().to];
      if (host.paused) {
        host.deferred_messages.push_back(std::move(due.mapped().run));
      } else {
        due.mapped().run();
      }
    }
    now_ = next;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
      tick(index);
    }
  }
}

void list_sync_simulation::clear_faults() {
  loss_percent = 0;
  max_delay = milliseconds(15);
  isolated_region.reset();
  store.outage = false;
  store.silent_watch = false;
  store.delay = milliseconds(1);
  for (simulated_host& host : hosts) {
    host.paused = false;
  }
}

config::list_stamp list_sync_simulation::write(config::list_kind kind) {
  auto& [revision, text] = store.values[kind];
  config::list_document document;
  document.kind = kind;
  document.stamp = parse_body_or_empty(kind, text).stamp;
  document.stamp.version = document.stamp.version.next();
  document.stamp.edit = base::edit_id(++last_edit_);
  text = config::to_json(document);
  ++revision;
  written_[{kind, document.stamp.version.value()}] = text;
  return document.stamp;
}

void list_sync_simulation::restore(config::list_kind kind, std::uint64_t version) {
  store.values[kind] = {version, written_[{kind, version}]};
}

bool list_sync_simulation::all_have_in_force(config::list_kind kind,
                                             base::list_version version) const {
  return std::all_of(hosts.begin(), hosts.end(), [&](const simulated_host& host) {
    return !host.started || host.lists->in_force().at(config::index_of(kind)).version >= version;
  });
}

void list_sync_simulation::tick(std::size_t index) {
  simulated_host& host = hosts[index];
  if (!host.started || host.paused) {
    return;
  }
  for (const auto& arrived : std::exchange(host.deferred_messages, {})) {
    arrived();
  }
  host.peers->tick(now_);
  std::vector<config::list_peer> live;
  for (const membership::peer_state& peer : host.peers->live_peers()) {
    live.push_back({peer.last_heartbeat.host, peer.record.region, peer.heard_at,
                    peer.last_heartbeat.in_force});
  }
  apply(index, host.lists->tick(now_, live));
  if (now_ >= host.next_heartbeat) {
    host.next_heartbeat = now_ + heartbeat_interval;
    send_heartbeats(index, host.peers->next_heartbeat_targets());
  }
}

void list_sync_simulation::apply(std::size_t index,
                                 const std::vector<config::list_action>& actions) {
  for (const config::list_action& action : actions) {
    if (const auto* const read = std::get_if<config::read_store>(&action)) {
      call_store(index, read->kind, std::nullopt, {});
    } else if (const auto* const watch = std::get_if<config::watch_store>(&action)) {
      call_store(index, watch->kind, watch->after_revision, watch->wait);
    } else if (const auto* const fetch_request = std::get_if<config::fetch_lists>(&action)) {
      fetch_from_peer(index, fetch_request->from);
    } else if (const auto* const event = std::get_if<config::record_event>(&action)) {
      hosts[index].events.push_back(event->kind);
    } else {
      check_versions(index);
      send_heartbeats(index, hosts[index].peers->listed_peers());
    }
  }
}

void list_sync_simulation::check_versions(std::size_t index) {
  simulated_host& host = hosts[index];
  const config::list_stamps now_in_force = host.lists->in_force();
  for (const config::list_kind kind : config::all_lists) {
    const std::size_t list = config::index_of(kind);
    version_decreased =
        version_decreased || now_in_force.at(list).version < host.highest_in_force.at(list).version;
  }
  host.highest_in_force = now_in_force;
}

void list_sync_simulation::call_store(std::size_t index,
                                      config::list_kind kind,
                                      std::optional<std::uint64_t> after,
                                      base::duration wait) {
  ++store_calls;
  const base::incarnation run = hosts[index].incarnation;
  const auto fail = [this, index, kind, run] {
    if (hosts[index].incarnation == run) {
      apply(index, hosts[index].lists->on_store_failed(now_, kind));
    }
  };
  if (!store_reachable(index) || store.delay > store_timeout) {
    schedule(index, store_timeout, fail);
  } else if (store.outage) {
    schedule(index, store.delay, fail);
  } else {
    const base::instant until = now_ + wait;
    schedule(index, store.delay, [this, index, kind, after, until, run] {
      if (hosts[index].incarnation == run) {
        answer_store_call(index, kind, after, until);
      }
    });
  }
}

void list_sync_simulation::answer_store_call(std::size_t index,
                                             config::list_kind kind,
                                             std::optional<std::uint64_t> after,
                                             base::instant until) {
  config::list_sync& lists = *hosts[index].lists;
  if (store.outage || !store_reachable(index)) {
    apply(index, lists.on_store_failed(now_, kind));
    return;
  }
  const auto& [revision, text] = store.values[kind];
  if (!after || (revision > *after && !store.silent_watch)) {
    apply(index, lists.on_store_value(revision, parse_body_or_empty(kind, text)));
  } else if (now_ >= until) {
    apply(index, lists.on_store_unchanged(kind));
  } else {
    const base::incarnation run = hosts[index].incarnation;
    schedule(index, watch_poll_interval, [this, index, kind, after, until, run] {
      if (hosts[index].incarnation == run) {
        answer_store_call(index, kind, after, until);
      }
    });
  }
}

void list_sync_simulation::fetch_from_peer(std::size_t index, const base::host_id& from) {
  const std::size_t source = index_of_host(from);
  const base::incarnation run = hosts[index].incarnation;
  const bool lost = !reachable(index, source) || hosts[source].paused || !hosts[source].started ||
                    random_() % percent < loss_percent;
  if (lost) {
    schedule(index, store_timeout, [this, index, from, run] {
      if (hosts[index].incarnation == run) {
        apply(index, hosts[index].lists->on_fetch_failed(now_, from));
      }
    });
    return;
  }
  std::vector<config::list_body> bodies;
  for (const config::shared_body& body : hosts[source].lists->bodies()) {
    if (body) {
      bodies.push_back(*body);
    }
  }
  schedule(index, network_delay() + network_delay(), [this, index, bodies, run] {
    if (hosts[index].incarnation == run) {
      apply(index, hosts[index].lists->on_fetched(bodies));
    }
  });
}

void list_sync_simulation::send_heartbeats(std::size_t index,
                                           const std::vector<membership::gateway_record>& targets) {
  simulated_host& host = hosts[index];
  membership::heartbeat message;
  message.host = host.id;
  message.run = host.incarnation;
  message.sequence = ++host.sequence;
  message.in_force = host.lists->in_force();
  for (const membership::gateway_record& target : targets) {
    const std::size_t to = index_of_host(target.host);
    if (!reachable(index, to) || random_() % percent < loss_percent) {
      continue;
    }
    schedule(to, network_delay(), [this, to, message] {
      if (hosts[to].started) {
        hosts[to].peers->on_heartbeat(now_, message);
      }
    });
  }
}

void list_sync_simulation::schedule(std::size_t to,
                                    base::duration delay,
                                    std::function<void()> run) {
  pending_.emplace(now_ + delay, pending_message{to, std::move(run)});
}

bool list_sync_simulation::reachable(std::size_t from, std::size_t to) const {
  const bool from_isolated = isolated_region && hosts[from].region == *isolated_region;
  const bool to_isolated = isolated_region && hosts[to].region == *isolated_region;
  return from_isolated == to_isolated;
}

bool list_sync_simulation::store_reachable(std::size_t index) const {
  return !isolated_region || hosts[index].region != *isolated_region;
}

base::duration list_sync_simulation::network_delay() {
  return base::duration(1 + random_() % static_cast<std::uint64_t>(max_delay.count()));
}

std::size_t list_sync_simulation::index_of_host(const base::host_id& host) const {
  const auto found = std::find_if(hosts.begin(), hosts.end(),
                                  [&](const simulated_host& entry) { return entry.id == host; });
  return static_cast<std::size_t>(found - hosts.begin());
}

}  // namespace catkintack::tests
