#include "catkintack/limits/quota_pool.hpp"

#include <algorithm>
#include <cmath>

namespace catkintack::limits {
namespace {

// Must be well below the difference between the times after which a host is missing and detached.
constexpr base::duration refresh_interval = std::chrono::milliseconds(100);
// Wait of a bucket that is not filled at present.
constexpr base::duration longest_wait = std::chrono::seconds(5);

base::duration to_duration(double seconds) {
  const double bounded = std::clamp(seconds, 0.0, base::to_seconds(longest_wait));
  return std::chrono::ceil<base::duration>(std::chrono::duration<double>(bounded));
}

}  // namespace

quota_pool::quota_pool(quota_pool_options options, base::instant started_at)
    : options_(options),
      started_at_(started_at),
      inherited_count_(options.inherited_hosts),
      reserved_since_(started_at) {}

std::size_t quota_pool::host_count() const {
  return std::max<std::size_t>(hosts_.size(), inherited_count_);
}

void quota_pool::set_held(host_record& host, double share) {
  held_total_ += share - host.held_share;
  host.held_share = share;
}

void quota_pool::on_message(const base::address& host,
                            const quota_lease& confirmed,
                            base::instant now) {
  const auto [found, created] = hosts_.try_emplace(host);
  host_record& entry = found->second;
  if (created) {
    entry.first_heard_at = now;
  }
  entry.heard_at = now;
  if (confirmed.run != options_.run) {
    constexpr std::uint32_t max_hosts = 10000;
    if (now - started_at_ < options_.lease_time && confirmed.host_count <= max_hosts) {
      inherited_count_ = std::max(inherited_count_, confirmed.host_count);
    }
    return;
  }
  if (confirmed.sent_at > entry.last_sent.sent_at) {
    return;  // Not sent by this run.
  }
  if (now - entry.first_heard_at < options_.handover_time) {
    return;
  }
  if (entry.confirmed_at == base::instant::min()) {
    ++confirmed_count_;
  }
  entry.confirmed_at = std::max(entry.confirmed_at, confirmed.sent_at);
  if (confirmed.sent_at == entry.last_sent.sent_at) {
    set_held(entry, entry.last_sent.share);
  }
}

void quota_pool::on_leave(const base::address& host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    set_held(found->second, 0);
    if (found->second.confirmed_at != base::instant::min()) {
      --confirmed_count_;
    }
    hosts_.erase(found);
  }
  if (inherited_count_ > 0) {
    --inherited_count_;
  }
}

quota_lease quota_pool::lease(const base::address& host, base::instant now) {
  refresh(now);
  host_record& entry = hosts_[host];
  const bool counted = inherited_count_ > 0 || now - started_at_ >= options_.counting_time;
  const double unassigned = std::max(0.0, 1 - (held_total_ - entry.held_share));
  const double share =
      counted
          ? std::min(1 / static_cast<double>(std::max<std::size_t>(host_count(), 1)), unassigned)
          : 0;
  entry.last_sent = {.run = options_.run,
                     .sent_at = std::max(now, entry.last_sent.sent_at + base::duration(1)),
                     .share = share,
                     .host_count = counted ? static_cast<std::uint32_t>(host_count()) : 0};
  // The host may keep its earlier lease, as this reply may be lost.
  set_held(entry, std::max(entry.held_share, share));
  return entry.last_sent;
}

void quota_pool::refresh(base::instant now) {
  if (refreshed_at_ != base::instant::min() && now - refreshed_at_ < refresh_interval) {
    return;
  }
  refreshed_at_ = now;
  if (now - started_at_ >= options_.lease_time) {
    inherited_count_ = 0;
  }
  double reserved = 0;
  missing_count_ = 0;
  for (auto next = hosts_.begin(); next != hosts_.end();) {
    const auto host = next++;
    host_record& entry = host->second;
    if (now - std::max(entry.heard_at, entry.last_sent.sent_at) > options_.lease_time) {
      on_leave(host->first);
    } else if (entry.confirmed_at != base::instant::min() &&
               now - entry.confirmed_at > options_.missing_after) {
      ++missing_count_;
      reserved += entry.held_share;
    }
  }
  if (inherited_count_ > confirmed_count_) {
    const std::size_t unknown = inherited_count_ - confirmed_count_;
    missing_count_ += unknown;
    reserved += static_cast<double>(unknown) / inherited_count_;
  }
  reserved = std::min(reserved, 1.0);
  if (reserved != reserved_) {
    // Buckets are filled up to now with the fraction that was in force until now.
    for (auto& [customer, target] : buckets_) {
      fill(target, now);
    }
    reserved_ = reserved;
    reserved_since_ = now;
  }
}

double quota_pool::reserved(base::instant now) {
  refresh(now);
  return reserved_;
}

double quota_pool::initial_tokens(double burst) const {
  // An authority may restart twice in a window; the last third is left for detached hosts.
  constexpr double parts = 3;
  const auto count = static_cast<double>(options_.authority_count);
  return std::max(0.0, options_.bounds.excess(burst) - count) / (parts * count);
}

void quota_pool::fill(bucket& target, base::instant now) const {
  const double usable = 1 - reserved_;
  const double seconds = base::to_seconds(std::max(base::duration(0), now - target.filled_at));
  // The tokens of the start are part of the excess; no reserved share is deducted from them.
  const bool starting = now - started_at_ < options_.counting_time;
  const double limit = starting ? target.capacity : target.capacity * usable;
  const double filled = target.tokens + target.rate * usable * seconds;
  target.tokens =
      std::min(limit, starting ? std::min(filled, std::max(target.tokens, target.capacity * usable))
                               : filled);
  target.filled_at = std::max(target.filled_at, now);
}

quota_pool::bucket& quota_pool::bucket_of(const routes::customer_policy& customer,
                                          base::instant now) {
  const auto count = static_cast<double>(options_.authority_count);
  const auto [found, created] = buckets_.try_emplace(customer.id);
  bucket& target = found->second;
  // One more than the share, so that the whole tokens of all authorities add up to the burst.
  const double spare = std::min(1.0, options_.bounds.slack / (4 * count));
  const double capacity = customer.burst / count + spare;
  if (created) {
    target = {.rate = customer.rate_per_second / count,
              .capacity = capacity,
              .tokens = std::min(capacity, initial_tokens(customer.burst)),
              .filled_at = reserved_since_,
              .line_end = now};
  }
  fill(target, now);
  target.rate = customer.rate_per_second / count;
  target.capacity = capacity;
  fill(target, now);
  return target;
}

quota_grant quota_pool::take(const routes::customer_policy& customer,
                             std::uint32_t wanted,
                             std::uint32_t refused_before,
                             base::instant now) {
  refresh(now);
  bucket& target = bucket_of(customer, now);
  // A sum of many small additions may be just below a whole number.
  constexpr double rounding = 1e-9;
  const double whole = std::floor(target.tokens + rounding);
  quota_grant result{.granted = static_cast<std::uint32_t>(std::min<double>(whole, wanted))};
  target.tokens = std::max(0.0, target.tokens - result.granted);
  result.tokens_left = target.tokens;
  const double fill_rate = target.rate * (1 - reserved_);
  const double missing = 1 - target.tokens;
  result.wait = missing <= 0    ? base::duration(0)
                : fill_rate > 0 ? to_duration(missing / fill_rate)
                                : longest_wait;
  // A refused call is refused by all authorities, so that each line moves at the rate of them all.
  const double all_rate = fill_rate * static_cast<double>(options_.authority_count);
  const base::duration step = all_rate > 0 ? to_duration(1 / all_rate) : longest_wait;
  const std::uint32_t refused = wanted - result.granted;
  const base::instant last = now + options_.max_retry_after;
  const auto book = [&](std::uint32_t places) {
    target.line_end = std::min(last, target.line_end + step * std::min(places, 100000U));
  };
  target.line_end = std::max(target.line_end, now + std::min(result.wait, step));
  book(refused_before);
  result.retry_after = target.line_end - now;
  book(refused);
  return result;
}

}  // namespace catkintack::limits
