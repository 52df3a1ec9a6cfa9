#include "catkintack/limits/allowance_splitter.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace catkintack::limits {
namespace {

constexpr double demand_unit = 0.001;
constexpr double max_demand = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint8_t max_consecutive_reports = std::numeric_limits<std::uint8_t>::max();
/// A demand within this factor of the previous one is reported as unchanged.
constexpr double hysteresis_factor = 1.25;
constexpr std::uint32_t entry_bytes = 7;

std::uint16_t to_demand_units(double amount) {
  return static_cast<std::uint16_t>(std::clamp(std::ceil(amount / demand_unit), 0.0, max_demand));
}

}  // namespace

std::uint16_t allowance_splitter::own_demand::lowest() const {
  return recent.empty() ? std::uint16_t{0} : *std::min_element(recent.begin(), recent.end());
}

std::uint16_t allowance_splitter::own_demand::highest() const {
  return recent.empty() ? std::uint16_t{0} : *std::max_element(recent.begin(), recent.end());
}

std::uint16_t allowance_splitter::own_demand::with_hysteresis(std::uint16_t measured) const {
  const double before = recent.empty() ? 0 : recent.back();
  const bool unchanged =
      measured <= before * hysteresis_factor && measured >= before / hysteresis_factor;
  return unchanged && !recent.empty() ? recent.back() : measured;
}

allowance_splitter::allowance_splitter(allowance_splitter_options options) : options_(options) {}

void allowance_splitter::set_live_hosts(std::uint32_t live_hosts) {
  live_hosts_ = std::max(live_hosts, 1U);
}

base::duration allowance_splitter::window() const {
  return options_.report_interval * options_.window_report_count;
}

bool allowance_splitter::report_due(base::instant now) const {
  return sequence_ == 0 || now - published_at_ >= options_.report_interval;
}

std::size_t allowance_splitter::max_entries() const {
  const std::uint32_t peers = std::max(live_hosts_, 2U) - 1;
  const double bytes =
      options_.bytes_per_second * base::to_seconds(options_.report_interval) / peers;
  const double room = bytes - options_.report_overhead_bytes;
  return room < 0 ? 0 : static_cast<std::size_t>(room / entry_bytes);
}

std::uint16_t allowance_splitter::demand_to_announce(base::instant now,
                                                     const measured_demand& measured) const {
  const double even_share = 1.0 / live_hosts_;
  const double least = announced(now, measured.account) ? options_.even_fraction * even_share
                                                        : options_.announce_threshold * even_share;
  return measured.amount < least ? std::uint16_t{0} : to_demand_units(measured.amount);
}

demand_report allowance_splitter::make_report(base::instant now,
                                              const std::vector<measured_demand>& measured) {
  expire_peers(now);
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
    demand.recent.push_back(demand.with_hysteresis(measured_units));
    if (demand.recent.size() > options_.window_report_count + 1) {
      demand.recent.pop_front();
    }
    demand.consecutive_reports = demand.consecutive_reports == max_consecutive_reports
                                     ? max_consecutive_reports
                                     : static_cast<std::uint8_t>(demand.consecutive_reports + 1);
    entries.push_back({account, demand.highest(), demand.consecutive_reports});
  }
  // Accounts that were announced for the longest time take precedence. Accounts that do not fit
  // into the report fall back to the even share.
  std::stable_sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
    return std::tie(left.consecutive_reports, left.peak) >
           std::tie(right.consecutive_reports, right.peak);
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

void allowance_splitter::on_peer_report(base::instant now,
                                        const base::host_id& host,
                                        const demand_report& report) {
  const auto [found, inserted] = peers_.try_emplace(host);
  peer_demand& peer = found->second;
  const bool old = std::tie(report.run, report.sequence) <= std::tie(peer.run, peer.sequence);
  if (!inserted && old) {
    return;
  }
  peer = {now, report.run, report.sequence, {}};
  for (const demand_entry& entry : report.entries) {
    peer.entries[entry.account] = entry;
  }
}

void allowance_splitter::expire_peers(base::instant now) {
  std::erase_if(peers_, [&](const auto& peer) { return now - peer.second.received_at > window(); });
}

bool allowance_splitter::announced(base::instant now, account_key account) const {
  return own_.contains(account) || std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
           return now - peer.second.received_at <= window() &&
                  peer.second.entries.contains(account);
         });
}

bool allowance_splitter::claimed(base::instant now, account_key account) const {
  const std::uint32_t needed = options_.window_report_count + options_.notice_report_count;
  const auto own = own_.find(account);
  if (own != own_.end() && own->second.consecutive_reports > needed) {
    return true;
  }
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    const base::duration age = now - peer.second.received_at;
    const auto entry = peer.second.entries.find(account);
    if (age > window() || entry == peer.second.entries.end()) {
      return false;
    }
    // The report may have been in transit for one interval, so the peer may be one report ahead.
    const auto since = static_cast<std::uint32_t>(age / options_.report_interval) + 1;
    return entry->second.consecutive_reports + since >= needed;
  });
}

double allowance_splitter::share(base::instant now, account_key account) const {
  const double even_share = 1.0 / live_hosts_;
  const bool overdue = sequence_ > 0 && now - published_at_ > window();
  if (overdue) {
    return options_.even_fraction * even_share;
  }
  if (!claimed(now, account)) {
    return even_share;
  }
  double others = 0;
  for (const auto& [host, peer] : peers_) {
    const auto entry = peer.entries.find(account);
    if (entry != peer.entries.end() && now - peer.received_at <= window()) {
      others += entry->second.peak;
    }
  }
  const auto own = own_.find(account);
  const std::uint32_t consecutive_reports = own == own_.end() ? 0 : own->second.consecutive_reports;
  const double lowest =
      consecutive_reports > options_.window_report_count ? own->second.lowest() : 0;
  const double claim = lowest > 0 ? lowest / (lowest + others) : 0;
  const double split = options_.even_fraction * even_share + (1 - options_.even_fraction) * claim;
  // Until every peer has been notified, this host does not exceed the even share, which its peers
  // still leave to it.
  const bool notice_given =
      consecutive_reports > options_.window_report_count + options_.notice_report_count;
  return notice_given ? split : std::min(split, even_share);
}

double allowance_splitter::max_total_share(std::uint32_t hosts,
                                           std::uint32_t min_believed_hosts,
                                           std::uint32_t partitions,
                                           std::uint32_t joining_hosts) {
  const double even_share = 1.0 / std::max(min_believed_hosts, 1U);
  return std::max(1.0, hosts * even_share) * std::max(partitions, 1U) + joining_hosts * even_share;
}

}  // namespace catkintack::limits
