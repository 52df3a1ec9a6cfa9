#include "catkintack/choice/send_permits.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::choice {
namespace {

// Without a reachable authority, the time of the next permit is unknown.
constexpr base::duration longest_wait = std::chrono::seconds(5);

}  // namespace

send_permits::send_permits(permit_options options, base::random_hook random)
    : options_(options),
      random_(std::move(random)),
      silent_until_(options.authority_count, base::instant::min()) {}

void send_permits::set_authority_count(std::size_t count) {
  silent_until_.resize(count, base::instant::min());
  for (auto& [id, entry] : records_) {
    entry.ask_again_at.resize(count, base::instant::min());
    if (entry.open && entry.open->authority >= count) {
      entry.open.reset();
    }
  }
}

void send_permits::replace_authority(std::size_t authority) {
  silent_until_[authority] = base::instant::min();
  for (auto& [id, entry] : records_) {
    if (authority < entry.ask_again_at.size()) {
      entry.ask_again_at[authority] = base::instant::min();
    }
    if (entry.open && entry.open->authority == authority) {
      entry.open.reset();
    }
  }
}

base::duration send_permits::jitter() const {
  return base::duration(static_cast<base::duration::rep>(
      random_() % static_cast<std::uint64_t>(options_.max_jitter.count() + 1)));
}

base::duration send_permits::validity_of(const record& entry) const {
  return entry.cause == limit_cause::warming_up ? options_.warm_up_validity : options_.validity;
}

bool send_permits::usable(const base::upstream_id& id, base::instant now, limit_cause cause) const {
  const auto found = records_.find(id);
  if (found == records_.end() || !found->second.permit_start) {
    return false;
  }
  const record& entry = found->second;
  const bool strict_enough = cause == limit_cause::named || entry.cause == limit_cause::warming_up;
  return strict_enough && now >= *entry.permit_start &&
         now <= *entry.permit_start + validity_of(entry);
}

bool send_permits::take(const base::upstream_id& id, base::instant now, limit_cause cause) {
  if (!usable(id, now, cause)) {
    return false;
  }
  records_.at(id).permit_start.reset();
  return true;
}

base::instant send_permits::next_chance(const base::upstream_id& id, base::instant now) const {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return silent_until_.empty() ? now + longest_wait : now;
  }
  const record& entry = found->second;
  if (entry.permit_start && *entry.permit_start + validity_of(entry) >= now) {
    return std::max(now, *entry.permit_start);
  }
  if (entry.open) {
    return std::max(now, entry.open->asked_at + options_.answer_timeout);
  }
  base::instant first = now + longest_wait;
  for (std::size_t i = 0; i < silent_until_.size(); ++i) {
    first = std::min(first, std::max(entry.ask_again_at[i], silent_until_[i]));
  }
  return std::max(now, first);
}

void send_permits::give_up_unanswered(record& entry, base::instant now) {
  if (entry.open && now - entry.open->asked_at > options_.answer_timeout) {
    silent_until_[entry.open->authority] = now + options_.silent_pause + jitter();
    entry.open.reset();
  }
}

void send_permits::permit_unattended(record& entry, base::request_rate limit, base::instant now) {
  if (limit.per_second() <= 0 || !unanswered_since_ ||
      now - *unanswered_since_ < options_.unattended_after) {
    entry.unattended_at.reset();
    return;
  }
  const bool due = entry.unattended_at && *entry.unattended_at <= now;
  if (due) {
    entry.permit_start = now;
  }
  if (due || !entry.unattended_at) {
    entry.unattended_at = now + unattended_pause(entry, !due);
  }
}

base::duration send_permits::unattended_pause(const record& entry, bool first) const {
  constexpr std::uint64_t parts = 1000;
  const double random_part =
      static_cast<double>(1 + random_() % parts) / static_cast<double>(parts);
  const double interval = options_.largest_fleet / entry.rate.per_second();
  // A random part of the interval, so that hosts do not send in step.
  double pause = interval * 2 * random_part;
  if (entry.cause == limit_cause::warming_up) {
    // The bound holds in each second, so that neither random clusters nor the renewals of pauses
    // that began together may come near it: only the first pause is random, and a third of the rate
    // is left unused.
    constexpr double reserve = 1.5;
    pause = interval * reserve * (first ? random_part : 1.0);
  }
  return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(pause));
}

std::vector<base::upstream_id> send_permits::requested_for_warm_up() const {
  std::vector<base::upstream_id> result;
  for (const auto& [id, entry] : records_) {
    if (entry.cause == limit_cause::warming_up) {
      result.push_back(id);
    }
  }
  return result;
}

std::optional<std::size_t> send_permits::ask(const base::upstream_id& id,
                                             base::request_rate limit,
                                             base::instant now,
                                             limit_cause cause) {
  record& entry = records_[id];
  if (cause == limit_cause::warming_up && entry.cause == limit_cause::named) {
    // Permits, open questions and sends without an authority were for a higher rate.
    entry = record{};
  }
  if (cause == limit_cause::warming_up && limit < entry.rate) {
    entry.unattended_at.reset();
  }
  entry.cause = cause;
  entry.rate = limit;
  entry.ask_again_at.resize(silent_until_.size(), base::instant::min());
  give_up_unanswered(entry, now);
  unanswered_since_ = unanswered_since_.value_or(now);
  permit_unattended(entry, limit, now);
  const bool in_hand = entry.permit_start && now <= *entry.permit_start + validity_of(entry);
  if (in_hand || entry.open) {
    return std::nullopt;
  }
  std::vector<std::size_t> ready;
  for (std::size_t i = 0; i < silent_until_.size(); ++i) {
    if (std::max(entry.ask_again_at[i], silent_until_[i]) <= now) {
      ready.push_back(i);
    }
  }
  if (ready.empty()) {
    return std::nullopt;
  }
  const std::size_t chosen = ready[random_() % ready.size()];
  entry.open = question{.authority = chosen, .asked_at = now};
  return chosen;
}

send_permits::record* send_permits::answered(const base::upstream_id& id,
                                             std::size_t authority,
                                             base::instant asked_at) {
  const auto found = records_.find(id);
  if (found == records_.end() || !found->second.open ||
      found->second.open->authority != authority || found->second.open->asked_at != asked_at) {
    return nullptr;
  }
  found->second.open.reset();
  unanswered_since_.reset();
  return &found->second;
}

bool send_permits::on_granted(const base::upstream_id& id,
                              std::size_t authority,
                              base::instant asked_at,
                              base::duration wait) {
  record* const entry = answered(id, authority, asked_at);
  if (entry == nullptr) {
    return false;
  }
  entry->permit_start = asked_at + wait;
  return true;
}

void send_permits::on_refused(const base::upstream_id& id,
                              std::size_t authority,
                              base::instant asked_at,
                              base::duration wait) {
  record* const entry = answered(id, authority, asked_at);
  if (entry != nullptr) {
    entry->ask_again_at[authority] = asked_at + wait + jitter();
  }
}

}  // namespace catkintack::choice
