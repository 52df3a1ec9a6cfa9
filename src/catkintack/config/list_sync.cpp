#include "catkintack/config/list_sync.hpp"

#include <algorithm>
#include <utility>

#include "catkintack/config/watcher_choice.hpp"

namespace catkintack::config {
namespace {

std::string text_of(const list_stamp& stamp) {
  return std::to_string(stamp.version.value()) + "/" + std::to_string(stamp.edit.value());
}

}  // namespace

list_sync::list_sync(list_sync_options options, base::random_hook random)
    : options_(std::move(options)), random_(std::move(random)) {}

list_stamps list_sync::in_force() const {
  list_stamps stamps;
  for (const list_kind kind : all_lists) {
    const shared_body& body = bodies_.at(index_of(kind));
    stamps.at(index_of(kind)) = body ? body->stamp : list_stamp{};
  }
  return stamps;
}

list_sync::actions list_sync::tick(base::instant now, const std::vector<list_peer>& live) {
  actions out;
  detect_freeze(now);
  update_watching(live);
  for (const list_kind kind : all_lists) {
    call_store(now, kind, out);
  }
  fetch(now, live, out);
  update_caught_up(now, live, out);
  return out;
}

void list_sync::detect_freeze(base::instant now) {
  if (!last_tick_ || now - *last_tick_ > options_.freeze_limit) {
    started_at_ = now;
    caught_up_ = false;
    for (store_state& source : store_) {
      source.answered = false;
    }
  }
  last_tick_ = now;
}

void list_sync::update_watching(const std::vector<list_peer>& live) {
  std::vector<base::host_id> region;
  for (const list_peer& peer : live) {
    if (peer.region == options_.region) {
      region.push_back(peer.host);
    }
  }
  watching_ = watches_store(options_.host, region, options_.watchers_per_region);
}

void list_sync::call_store(base::instant now, list_kind kind, actions& out) {
  store_state& source = store_.at(index_of(kind));
  const bool wanted = watching_ || (!caught_up_ && !source.answered);
  if (!wanted || source.call == call_state::waiting || now < source.next_call) {
    return;
  }
  if (source.call == call_state::read_next || !source.answered || !watching_) {
    out.emplace_back(read_store{kind});
  } else {
    out.emplace_back(watch_store{kind, source.revision, options_.watch_timeout});
  }
  source.call = call_state::waiting;
  source.called_at = now;
}

list_sync::actions list_sync::on_store_value(std::uint64_t revision, list_body body) {
  actions out;
  store_state& source = store_.at(index_of(body.kind));
  source.call = call_state::idle;
  source.next_call = source.called_at + options_.min_call_interval;
  source.backoff = {};
  source.revision = revision;
  source.answered = true;
  if (!std::exchange(source.available, true)) {
    out.emplace_back(record_event{"store_back", {{"list", to_string(body.kind)}}});
  }
  report_store_fault(body, out);
  adopt_if_newer(std::move(body), out);
  return out;
}

void list_sync::report_store_fault(const list_body& body, actions& out) {
  const shared_body& known = bodies_.at(index_of(body.kind));
  store_state& source = store_.at(index_of(body.kind));
  const bool older = known && body.stamp.version < known->stamp.version;
  const bool diverged =
      known && body.stamp.version == known->stamp.version && body.stamp.edit != known->stamp.edit;
  if (!older && !diverged) {
    source.fault_reported = false;
    return;
  }
  if (source.fault_reported && source.last_fault == body.stamp) {
    return;
  }
  source.fault_reported = true;
  source.last_fault = body.stamp;
  out.emplace_back(record_event{older ? "store_older" : "store_diverged",
                                {{"list", to_string(body.kind)},
                                 {"store", text_of(body.stamp)},
                                 {"in_force", text_of(known->stamp)}}});
}

list_sync::actions list_sync::on_store_unchanged(list_kind kind) {
  store_state& source = store_.at(index_of(kind));
  source.call = call_state::read_next;
  source.next_call = source.called_at + options_.min_call_interval;
  source.backoff = {};
  source.available = true;
  return {};
}

list_sync::actions list_sync::on_store_failed(base::instant now, list_kind kind) {
  actions out;
  store_state& source = store_.at(index_of(kind));
  source.call = call_state::read_next;
  source.backoff = std::clamp(source.backoff * 2, options_.min_backoff, options_.max_backoff);
  // Jitter over the upper half of the backoff spreads the hosts' calls when the store recovers.
  const auto half = source.backoff.count() / 2;
  const auto jitter = static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(half + 1));
  source.next_call = now + base::duration(half + jitter);
  if (std::exchange(source.available, false)) {
    out.emplace_back(record_event{"store_lost", {{"list", to_string(kind)}}});
  }
  return out;
}

bool list_sync::has_newer_list(const list_peer& peer) const {
  const list_stamps own = in_force();
  return std::any_of(all_lists.begin(), all_lists.end(), [&](list_kind kind) {
    const std::size_t index = index_of(kind);
    return peer.in_force.at(index).version > own.at(index).version;
  });
}

bool list_sync::may_fetch_from(base::instant now, const list_peer& peer) const {
  const auto again = retry_after_.find(peer.host);
  if (again != retry_after_.end() && now < again->second) {
    return false;
  }
  const bool near = peer.region == options_.region;
  return near || now - *behind_since_ >= options_.remote_region_fetch_delay;
}

void list_sync::fetch(base::instant now, const std::vector<list_peer>& live, actions& out) {
  std::vector<const list_peer*> holders;
  for (const list_peer& peer : live) {
    if (has_newer_list(peer)) {
      holders.push_back(&peer);
    }
  }
  if (holders.empty()) {
    behind_since_.reset();
    return;
  }
  behind_since_ = behind_since_.value_or(now);
  std::erase_if(holders, [&](const list_peer* peer) { return !may_fetch_from(now, *peer); });
  if (fetching_ || holders.empty()) {
    return;
  }
  fetching_ = true;
  out.emplace_back(fetch_lists{holders.at(random_() % holders.size())->host});
}

list_sync::actions list_sync::on_fetched(const std::vector<list_body>& bodies) {
  actions out;
  fetching_ = false;
  for (const list_body& body : bodies) {
    adopt_if_newer(body, out);
  }
  return out;
}

list_sync::actions list_sync::on_fetch_failed(base::instant now, const base::host_id& from) {
  fetching_ = false;
  retry_after_[from] = now + options_.fetch_retry_delay;
  return {};
}

void list_sync::adopt_if_newer(list_body body, actions& out) {
  shared_body& known = bodies_.at(index_of(body.kind));
  if (known && body.stamp.version <= known->stamp.version) {
    return;
  }
  known = std::make_shared<const list_body>(std::move(body));
  out.emplace_back(adopt_list{known});
}

void list_sync::update_caught_up(base::instant now,
                                 const std::vector<list_peer>& live,
                                 actions& out) {
  if (caught_up_) {
    return;
  }
  const bool complete = std::all_of(bodies_.begin(), bodies_.end(),
                                    [](const shared_body& body) { return body != nullptr; });
  const bool behind = std::any_of(live.begin(), live.end(),
                                  [this](const list_peer& peer) { return has_newer_list(peer); });
  const bool from_store = std::all_of(store_.begin(), store_.end(),
                                      [](const store_state& source) { return source.answered; });
  const bool from_peers = std::any_of(live.begin(), live.end(), [this](const list_peer& peer) {
    return peer.heard_at > started_at_;
  });
  const bool settled = now - started_at_ >= options_.settle_time;
  if (complete && settled && !behind && (from_store || from_peers)) {
    caught_up_ = true;
    out.emplace_back(record_event{"caught_up", {{"from", from_store ? "store" : "peers"}}});
  }
}

}  // namespace catkintack::config
