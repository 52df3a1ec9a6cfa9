#include "catkintack/limits/fleet_shares.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace catkintack::limits {
namespace {

constexpr double demand_unit = 0.001;
constexpr double max_demand = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint8_t max_held = std::numeric_limits<std::uint8_t>::max();
/// A demand within this factor of the one announced before counts as the same.
constexpr double steady_factor = 1.25;
constexpr std::uint32_t entry_bytes = 7;

std::uint16_t to_units(double amount) {
  return static_cast<std::uint16_t>(std::clamp(std::ceil(amount / demand_unit), 0.0, max_demand));
}

}  // namespace

std::uint16_t fleet_shares::own_demand::lowest() const {
  return recent.empty() ? std::uint16_t{0} : *std::min_element(recent.begin(), recent.end());
}

std::uint16_t fleet_shares::own_demand::highest() const {
  return recent.empty() ? std::uint16_t{0} : *std::max_element(recent.begin(), recent.end());
}

std::uint16_t fleet_shares::own_demand::steadied(std::uint16_t measured) const {
  const double before = recent.empty() ? 0 : recent.back();
  const bool steady = measured <= before * steady_factor && measured >= before / steady_factor;
  return steady && !recent.empty() ? recent.back() : measured;
}

fleet_shares::fleet_shares(share_options options) : options_(options) {}

void fleet_shares::set_live_hosts(std::uint32_t live_hosts) {
  live_hosts_ = std::max(live_hosts, 1U);
}

base::duration fleet_shares::window() const {
  return options_.report_interval * options_.window_reports;
}

bool fleet_shares::due(base::instant now) const {
  return sequence_ == 0 || now - published_at_ >= options_.report_interval;
}

std::size_t fleet_shares::max_entries() const {
  const std::uint32_t peers = std::max(live_hosts_, 2U) - 1;
  const double bytes =
      options_.bytes_per_second * base::to_seconds(options_.report_interval) / peers;
  const double room = bytes - options_.report_overhead;
  return room < 0 ? 0 : static_cast<std::size_t>(room / entry_bytes);
}

std::uint16_t fleet_shares::demand_to_announce(base::instant now,
                                               const measured_demand& measured) const {
  const double even = 1.0 / live_hosts_;
  const double least =
      announced(now, measured.account) ? options_.floor * even : options_.pressing_part * even;
  return measured.amount < least ? std::uint16_t{0} : to_units(measured.amount);
}

demand_report fleet_shares::publish(base::instant now,
                                    const std::vector<measured_demand>& measured) {
  forget_silent_peers(now);
  std::map<account_key, std::uint16_t> current;
  for (const measured_demand& one : measured) {
    if (const std::uint16_t units = demand_to_announce(now, one); units > 0) {
      current[one.account] = std::max(current[one.account], units);
      own_.try_emplace(one.account);
    }
  }
  std::vector<demand_entry> entries;
  for (auto& [account, demand] : own_) {
    const auto found = current.find(account);
    const std::uint16_t measured_units = found == current.end() ? std::uint16_t{0} : found->second;
    demand.recent.push_back(demand.steadied(measured_units));
    if (demand.recent.size() > options_.window_reports + 1) {
      demand.recent.pop_front();
    }
    demand.held = demand.held == max_held ? max_held : static_cast<std::uint8_t>(demand.held + 1);
    entries.push_back({account, demand.highest(), demand.held});
  }
  // Accounts announced for longest come first; what does not fit falls back to the even share.
  std::stable_sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
    return std::tie(left.held, left.peak) > std::tie(right.held, right.peak);
  });
  while (entries.size() > max_entries()) {
    own_.erase(entries.back().account);
    entries.pop_back();
  }
  std::erase_if(entries, [](const demand_entry& entry) { return entry.peak == 0; });
  std::erase_if(own_, [](const auto& entry) { return entry.second.highest() == 0; });
  published_at_ = now;
  return {options_.run, ++sequence_, std::move(entries)};
}

void fleet_shares::on_peer(base::instant now,
                           const base::host_id& host,
                           const demand_report& report) {
  const auto [found, fresh] = peers_.try_emplace(host);
  peer_demand& peer = found->second;
  const bool old = std::tie(report.run, report.sequence) <= std::tie(peer.run, peer.sequence);
  if (!fresh && old) {
    return;
  }
  peer = {now, report.run, report.sequence, {}};
  for (const demand_entry& entry : report.entries) {
    peer.entries[entry.account] = entry;
  }
}

void fleet_shares::forget_silent_peers(base::instant now) {
  std::erase_if(peers_, [&](const auto& peer) { return now - peer.second.heard_at > window(); });
}

bool fleet_shares::announced(base::instant now, account_key account) const {
  return own_.contains(account) || std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
           return now - peer.second.heard_at <= window() && peer.second.entries.contains(account);
         });
}

bool fleet_shares::claimed(base::instant now, account_key account) const {
  const std::uint32_t needed = options_.window_reports + options_.notice_reports;
  const auto own = own_.find(account);
  if (own != own_.end() && own->second.held > needed) {
    return true;
  }
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    const base::duration age = now - peer.second.heard_at;
    const auto entry = peer.second.entries.find(account);
    if (age > window() || entry == peer.second.entries.end()) {
      return false;
    }
    // The report may have travelled for an interval, so the peer may be one report further.
    const auto since = static_cast<std::uint32_t>(age / options_.report_interval) + 1;
    return entry->second.held + since >= needed;
  });
}

double fleet_shares::share(base::instant now, account_key account) const {
  const double even = 1.0 / live_hosts_;
  const bool overdue = sequence_ > 0 && now - published_at_ > window();
  if (overdue) {
    return options_.floor * even;
  }
  if (!claimed(now, account)) {
    return even;
  }
  double others = 0;
  for (const auto& [host, peer] : peers_) {
    const auto entry = peer.entries.find(account);
    if (entry != peer.entries.end() && now - peer.heard_at <= window()) {
      others += entry->second.peak;
    }
  }
  const auto own = own_.find(account);
  const std::uint32_t held = own == own_.end() ? 0 : own->second.held;
  const double lowest = held > options_.window_reports ? own->second.lowest() : 0;
  const double claim = lowest > 0 ? lowest / (lowest + others) : 0;
  const double split = options_.floor * even + (1 - options_.floor) * claim;
  // Until every peer has had notice, this host stays at or below what they leave it.
  const bool noticed = held > options_.window_reports + options_.notice_reports;
  return noticed ? split : std::min(split, even);
}

double fleet_shares::overshoot_bound(std::uint32_t hosts,
                                     std::uint32_t fewest_believed,
                                     std::uint32_t islands,
                                     std::uint32_t joining) {
  const double even = 1.0 / std::max(fewest_believed, 1U);
  return std::max(1.0, hosts * even) * std::max(islands, 1U) + joining * even;
}

}  // namespace catkintack::limits
