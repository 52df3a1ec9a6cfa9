#include "catkintack/membership/fleet.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace catkintack::membership {

fleet::fleet(fleet_options options) : options_(std::move(options)) {}

void fleet::on_hosts(const std::vector<gateway_record>& gateways) {
  listed_.clear();
  for (const gateway_record& record : gateways) {
    if (record.host == options_.host) {
      continue;
    }
    listed_[record.host] = record;
    peers_[record.host].record = record;
  }
}

bool fleet::on_heartbeat(base::instant now, const heartbeat& message) {
  if (message.host == options_.host) {
    return false;
  }
  peer_state& peer = peers_[message.host];
  const bool known = !peer.last.host.empty();
  const auto newest = std::tie(peer.last.run, peer.last.sequence);
  if (known && std::tie(message.run, message.sequence) <= newest) {
    return false;
  }
  const bool restarted = known && message.run > peer.last.run;
  peer.record.host = message.host;
  peer.last = message;
  peer.heard_at = now;
  if (message.leaving) {
    change(peer, peer_health::gone);
  } else if (restarted || peer.health != peer_health::live) {
    peer.health = peer_health::unheard;
    change(peer, peer_health::live);
  }
  return true;
}

void fleet::tick(base::instant now) {
  // After a freeze of this host every peer looks silent, so silence counts from the end of it.
  if (last_tick_ && now - *last_tick_ > options_.freeze_limit) {
    const base::duration frozen = now - *last_tick_;
    for (auto& [host, peer] : peers_) {
      peer.heard_at = std::min(now, peer.heard_at + frozen);
    }
  }
  last_tick_ = now;
  for (auto& [host, peer] : peers_) {
    judge(now, peer);
  }
  std::erase_if(peers_, [this](const auto& entry) {
    const peer_health health = entry.second.health;
    return health == peer_health::unheard && !listed_.contains(entry.first);
  });
}

void fleet::judge(base::instant now, peer_state& peer) {
  if (peer.health == peer_health::unheard || peer.health == peer_health::gone) {
    return;
  }
  const base::duration silence = now - peer.heard_at;
  if (silence > 2 * silence_limit()) {
    change(peer, peer_health::gone);
  } else if (silence > silence_limit()) {
    change(peer, peer_health::suspect);
  }
}

void fleet::change(peer_state& peer, peer_health health) {
  if (peer.health == health) {
    return;
  }
  peer.health = health;
  changes_.push_back({peer.last.host, peer.last.run, health});
}

std::vector<peer_change> fleet::take_changes() { return std::exchange(changes_, {}); }

std::vector<gateway_record> fleet::targets() const {
  std::vector<gateway_record> all;
  for (const auto& [host, record] : listed_) {
    all.push_back(record);
  }
  return all;
}

std::vector<gateway_record> fleet::next_targets() {
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

std::vector<peer_state> fleet::live() const {
  std::vector<peer_state> result;
  for (const auto& [host, peer] : peers_) {
    if (peer.health == peer_health::live || peer.health == peer_health::suspect) {
      result.push_back(peer);
    }
  }
  return result;
}

base::duration fleet::silence_limit() const {
  const std::size_t rounds = (listed_.size() + options_.fan_out - 1) / options_.fan_out;
  const auto round =
      options_.interval * static_cast<std::int64_t>(std::max<std::size_t>(rounds, 1));
  return std::max(options_.shortest_silence, round * options_.silence_rounds);
}

}  // namespace catkintack::membership
