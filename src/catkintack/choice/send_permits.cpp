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

base::duration send_permits::jitter() const {
  return base::duration(static_cast<base::duration::rep>(
      random_() % static_cast<std::uint64_t>(options_.max_jitter.count() + 1)));
}

bool send_permits::usable(const base::upstream_id& id, base::instant now) const {
  const auto found = records_.find(id);
  return found != records_.end() && found->second.permit_start &&
         now >= *found->second.permit_start &&
         now <= *found->second.permit_start + options_.validity;
}

bool send_permits::take(const base::upstream_id& id, base::instant now) {
  if (!usable(id, now)) {
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
  if (entry.permit_start && *entry.permit_start + options_.validity >= now) {
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
  // A random part of the interval, so that hosts do not send in step.
  constexpr std::uint64_t parts = 1000;
  const double interval = options_.largest_fleet / limit.per_second();
  const auto pause = std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(
      interval * 2 * static_cast<double>(1 + random_() % parts) / static_cast<double>(parts)));
  if (entry.unattended_at && *entry.unattended_at <= now) {
    entry.permit_start = now;
    entry.unattended_at.reset();
  }
  entry.unattended_at = entry.unattended_at.value_or(now + pause);
}

std::optional<std::size_t> send_permits::ask(const base::upstream_id& id,
                                             base::request_rate limit,
                                             base::instant now) {
  record& entry = records_[id];
  entry.ask_again_at.resize(silent_until_.size(), base::instant::min());
  give_up_unanswered(entry, now);
  unanswered_since_ = unanswered_since_.value_or(now);
  permit_unattended(entry, limit, now);
  const bool in_hand = entry.permit_start && now <= *entry.permit_start + options_.validity;
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
