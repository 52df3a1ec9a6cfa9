#include "list_fleet.hpp"

#include <algorithm>

namespace catkintack::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::duration step = milliseconds(50);
constexpr base::duration heartbeat_interval = milliseconds(500);
constexpr base::duration store_timeout = seconds(2);
constexpr base::duration watch_poll = milliseconds(5);
constexpr unsigned percent = 100;

config::list_body body_of(config::list_kind kind, const std::string& text) {
  return boost::leaf::try_handle_all([&] { return config::parse_body(kind, text); },
                                     [kind] {
                                       return config::list_body{kind, {}, ""};
                                     });
}

}  // namespace

list_fleet::list_fleet(std::size_t count, std::size_t regions, std::uint64_t seed)
    : hosts(count), random_(base::seeded_random_hook(seed)) {
  for (std::size_t index = 0; index < count; ++index) {
    hosts[index].id = base::host_id("gw-" + std::to_string(index));
    hosts[index].region = base::region_id("region-" + std::to_string(index % regions));
  }
}

void list_fleet::start(std::size_t index) {
  virtual_host& host = hosts[index];
  host.started = true;
  host.frozen = false;
  host.run = base::incarnation(++last_run_);
  host.sequence = 0;
  host.highest = {};
  host.inbox.clear();
  config::list_sync_options options;
  options.host = host.id;
  options.region = host.region;
  host.lists = std::make_unique<config::list_sync>(options, base::seeded_random_hook(random_()));
  membership::peer_tracker_options fleet_options;
  fleet_options.host = host.id;
  host.fleet = std::make_unique<membership::peer_tracker>(fleet_options);
  std::vector<membership::gateway_record> listed;
  for (const virtual_host& other : hosts) {
    membership::gateway_record record;
    record.host = other.id;
    record.region = other.region;
    listed.push_back(record);
  }
  host.fleet->on_hosts(listed);
  host.next_heartbeat = now_;
}

void list_fleet::start_all() {
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    start(index);
  }
}

void list_fleet::run(base::duration span) {
  const base::instant end = now_ + span;
  while (now_ < end) {
    const base::instant next = now_ + step;
    while (!pending_.empty() && pending_.begin()->first <= next) {
      auto due = pending_.extract(pending_.begin());
      now_ = std::max(now_, due.key());
      ++steps;
      virtual_host& host = hosts[due.mapped().to];
      if (host.frozen) {
        host.inbox.push_back(std::move(due.mapped().run));
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

void list_fleet::heal() {
  loss_percent = 0;
  longest_delay = milliseconds(15);
  cut_region.reset();
  store.outage = false;
  store.silent_watch = false;
  store.delay = milliseconds(1);
  for (virtual_host& host : hosts) {
    host.frozen = false;
  }
}

config::list_stamp list_fleet::write(config::list_kind kind) {
  auto& [revision, text] = store.values[kind];
  config::list_document document;
  document.kind = kind;
  document.stamp = body_of(kind, text).stamp;
  document.stamp.version = document.stamp.version.next();
  document.stamp.edit = base::edit_id(++last_edit_);
  text = config::to_json(document);
  ++revision;
  written_[{kind, document.stamp.version.value()}] = text;
  return document.stamp;
}

void list_fleet::restore(config::list_kind kind, std::uint64_t version) {
  store.values[kind] = {version, written_[{kind, version}]};
}

bool list_fleet::all_have(config::list_kind kind, base::list_version version) const {
  return std::all_of(hosts.begin(), hosts.end(), [&](const virtual_host& host) {
    return !host.started || host.lists->in_force().at(config::index_of(kind)).version >= version;
  });
}

void list_fleet::tick(std::size_t index) {
  virtual_host& host = hosts[index];
  if (!host.started || host.frozen) {
    return;
  }
  for (const auto& arrived : std::exchange(host.inbox, {})) {
    arrived();
  }
  host.fleet->tick(now_);
  std::vector<config::list_peer> live;
  for (const membership::peer_state& peer : host.fleet->live_peers()) {
    live.push_back({peer.last_heartbeat.host, peer.record.region, peer.heard_at,
                    peer.last_heartbeat.in_force});
  }
  apply(index, host.lists->tick(now_, live));
  if (now_ >= host.next_heartbeat) {
    host.next_heartbeat = now_ + heartbeat_interval;
    heartbeat(index, host.fleet->next_heartbeat_targets());
  }
}

void list_fleet::apply(std::size_t index, const std::vector<config::list_action>& actions) {
  for (const config::list_action& action : actions) {
    if (const auto* const read = std::get_if<config::read_store>(&action)) {
      call_store(index, read->kind, std::nullopt, {});
    } else if (const auto* const watch = std::get_if<config::watch_store>(&action)) {
      call_store(index, watch->kind, watch->after_revision, watch->wait);
    } else if (const auto* const wanted = std::get_if<config::fetch_lists>(&action)) {
      fetch(index, wanted->from);
    } else if (const auto* const event = std::get_if<config::record_event>(&action)) {
      hosts[index].events.push_back(event->kind);
    } else {
      check(index);
      heartbeat(index, hosts[index].fleet->listed_peers());
    }
  }
}

void list_fleet::check(std::size_t index) {
  virtual_host& host = hosts[index];
  const config::list_stamps now_in_force = host.lists->in_force();
  for (const config::list_kind kind : config::all_lists) {
    const std::size_t list = config::index_of(kind);
    version_fell = version_fell || now_in_force.at(list).version < host.highest.at(list).version;
  }
  host.highest = now_in_force;
}

void list_fleet::call_store(std::size_t index,
                            config::list_kind kind,
                            std::optional<std::uint64_t> after,
                            base::duration wait) {
  ++store_calls;
  const base::incarnation run = hosts[index].run;
  const auto fail = [this, index, kind, run] {
    if (hosts[index].run == run) {
      apply(index, hosts[index].lists->on_store_failed(now_, kind));
    }
  };
  if (!store_reachable(index) || store.delay > store_timeout) {
    later(index, store_timeout, fail);
  } else if (store.outage) {
    later(index, store.delay, fail);
  } else {
    const base::instant until = now_ + wait;
    later(index, store.delay, [this, index, kind, after, until, run] {
      if (hosts[index].run == run) {
        answer_store(index, kind, after, until);
      }
    });
  }
}

void list_fleet::answer_store(std::size_t index,
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
    apply(index, lists.on_store_value(revision, body_of(kind, text)));
  } else if (now_ >= until) {
    apply(index, lists.on_store_unchanged(kind));
  } else {
    const base::incarnation run = hosts[index].run;
    later(index, watch_poll, [this, index, kind, after, until, run] {
      if (hosts[index].run == run) {
        answer_store(index, kind, after, until);
      }
    });
  }
}

void list_fleet::fetch(std::size_t index, const base::host_id& from) {
  const std::size_t source = index_of_host(from);
  const base::incarnation run = hosts[index].run;
  const bool lost = !reachable(index, source) || hosts[source].frozen || !hosts[source].started ||
                    random_() % percent < loss_percent;
  if (lost) {
    later(index, store_timeout, [this, index, from, run] {
      if (hosts[index].run == run) {
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
  later(index, network_delay() + network_delay(), [this, index, bodies, run] {
    if (hosts[index].run == run) {
      apply(index, hosts[index].lists->on_fetched(bodies));
    }
  });
}

void list_fleet::heartbeat(std::size_t index,
                           const std::vector<membership::gateway_record>& targets) {
  virtual_host& host = hosts[index];
  membership::heartbeat message;
  message.host = host.id;
  message.run = host.run;
  message.sequence = ++host.sequence;
  message.in_force = host.lists->in_force();
  for (const membership::gateway_record& target : targets) {
    const std::size_t to = index_of_host(target.host);
    if (!reachable(index, to) || random_() % percent < loss_percent) {
      continue;
    }
    later(to, network_delay(), [this, to, message] {
      if (hosts[to].started) {
        hosts[to].fleet->on_heartbeat(now_, message);
      }
    });
  }
}

void list_fleet::later(std::size_t to, base::duration delay, std::function<void()> run) {
  pending_.emplace(now_ + delay, delivery{to, std::move(run)});
}

bool list_fleet::reachable(std::size_t from, std::size_t to) const {
  const bool from_cut = cut_region && hosts[from].region == *cut_region;
  const bool to_cut = cut_region && hosts[to].region == *cut_region;
  return from_cut == to_cut;
}

bool list_fleet::store_reachable(std::size_t index) const {
  return !cut_region || hosts[index].region != *cut_region;
}

base::duration list_fleet::network_delay() {
  return base::duration(1 + random_() % static_cast<std::uint64_t>(longest_delay.count()));
}

std::size_t list_fleet::index_of_host(const base::host_id& host) const {
  const auto found = std::find_if(hosts.begin(), hosts.end(),
                                  [&](const virtual_host& entry) { return entry.id == host; });
  return static_cast<std::size_t>(found - hosts.begin());
}

}  // namespace catkintack::tests
