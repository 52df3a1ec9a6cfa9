#include "catkintack/membership/peer_tracker.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace catkintack::membership {

peer_tracker::peer_tracker(peer_tracker_options options) : options_(std::move(options)) {}

void peer_tracker::on_hosts(const std::vector<gateway_record>& gateways) {
  listed_.clear();
  for (const gateway_record& record : gateways) {
    if (record.host == options_.host) {
      continue;
    }
    listed_[record.host] = record;
    peers_[record.host].record = record;
  }
}

bool peer_tracker::on_heartbeat(base::instant now, const heartbeat& message) {
  if (message.host == options_.host) {
    return false;
  }
  peer_state& peer = peers_[message.host];
  const bool known = !peer.last_heartbeat.host.empty();
  const auto newest = std::tie(peer.last_heartbeat.run, peer.last_heartbeat.sequence);
  if (known && std::tie(message.run, message.sequence) <= newest) {
    return false;
  }
  const bool restarted = known && message.run > peer.last_heartbeat.run;
  peer.record.host = message.host;
  peer.last_heartbeat = message;
  peer.heard_at = now;
  if (message.leaving) {
    set_health(peer, peer_health::gone);
  } else if (restarted || peer.health != peer_health::live) {
    // Resets the state first, so that a restarted peer is reported as a change although it is live.
    peer.health = peer_health::unheard;
    set_health(peer, peer_health::live);
  }
  return true;
}

void peer_tracker::tick(base::instant now) {
  // After a pause of this host every peer appears silent, so the paused time does not count.
  if (last_tick_ && now - *last_tick_ > options_.freeze_limit) {
    const base::duration paused = now - *last_tick_;
    for (auto& [host, peer] : peers_) {
      peer.heard_at = std::min(now, peer.heard_at + paused);
    }
  }
  last_tick_ = now;
  for (auto& [host, peer] : peers_) {
    update_health(now, peer);
  }
  std::erase_if(peers_, [this](const auto& entry) {
    const peer_health health = entry.second.health;
    return health == peer_health::unheard && !listed_.contains(entry.first);
  });
}

void peer_tracker::update_health(base::instant now, peer_state& peer) {
  if (peer.health == peer_health::unheard || peer.health == peer_health::gone) {
    return;
  }
  const base::duration silence = now - peer.heard_at;
  if (silence > 2 * suspect_timeout()) {
    set_health(peer, peer_health::gone);
  } else if (silence > suspect_timeout()) {
    set_health(peer, peer_health::suspect);
  }
}

void peer_tracker::set_health(peer_state& peer, peer_health health) {
  if (peer.health == health) {
    return;
  }
  peer.health = health;
  changes_.push_back({peer.last_heartbeat.host, peer.last_heartbeat.run, health});
}

std::vector<peer_change> peer_tracker::take_changes() { return std::exchange(changes_, {}); }

std::vector<gateway_record> peer_tracker::listed_peers() const {
  std::vector<gateway_record> all;
  for (const auto& [host, record] : listed_) {
    all.push_back(record);
  }
  return all;
}

std::vector<gateway_record> peer_tracker::next_heartbeat_targets() {
  std::vector<gateway_record> chosen;
  const std::size_t count = std::min(options_.fan_out, listed_.size());
  auto next = listed_.upper_bound(last_target_);
  while (chosen.size() < count) {
    next = next == listed_.end() ? listed_.begin() : next;
    chosen.push_back(next->second);
    last_target_ = next->first;
    ++next;
  }
  return chosen;
}

std::vector<peer_state> peer_tracker::live_peers() const {
  std::vector<peer_state> result;
  for (const auto& [host, peer] : peers_) {
    if (peer.health == peer_health::live || peer.health == peer_health::suspect) {
      result.push_back(peer);
    }
  }
  return result;
}

base::duration peer_tracker::suspect_timeout() const {
  const std::size_t rounds = (listed_.size() + options_.fan_out - 1) / options_.fan_out;
  const auto round =
      options_.interval * static_cast<std::int64_t>(std::max<std::size_t>(rounds, 1));
  return std::max(options_.min_suspect_timeout, round * options_.missed_round_count);
}

}  // namespace catkintack::membership
