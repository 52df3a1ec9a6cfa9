#include "catkintack/limits/quota_client.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace catkintack::limits {
namespace {

constexpr double response_weight = 0.2;  // Of a new sample in the moving average.
constexpr base::duration unknown_pause = std::chrono::milliseconds(300);

double uniform(const base::random_hook& random) {
  constexpr double scale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(random() >> 11U) * scale;
}

base::duration to_duration(double seconds) {
  constexpr double longest = 5;
  return std::chrono::ceil<base::duration>(
      std::chrono::duration<double>(std::clamp(seconds, 0.0, longest)));
}

}  // namespace

quota_client::quota_client(quota_client_options options, base::random_hook random)
    : options_(options), random_(std::move(random)), peers_(options.authority_count) {}

void quota_client::set_authority_count(std::size_t count) {
  peers_.resize(count);
  for (auto& [customer, owner] : accounts_) {
    owner.relations.resize(count);
    std::erase_if(owner.tokens,
                  [count](const token_batch& batch) { return batch.authority >= count; });
  }
}

void quota_client::replace_authority(std::size_t authority) {
  quota_lease former = peers_[authority].lease;
  former.share = 0;
  peers_[authority] = peer{.lease = former};
  for (auto& [customer, owner] : accounts_) {
    owner.relations[authority] = relation{};
  }
}

base::duration quota_client::timeout_of(const peer& authority) const {
  if (!authority.response_us) {
    return options_.first_timeout;
  }
  const auto measured = base::duration(
      static_cast<base::duration::rep>(*authority.response_us * options_.timeout_factor));
  return std::clamp(measured, options_.min_timeout, options_.first_timeout);
}

base::duration quota_client::with_jitter(base::duration wait) {
  constexpr double part = 0.2;
  constexpr double min_seconds = 0.01;
  return wait + to_duration(uniform(random_) * (part * base::to_seconds(wait) + min_seconds));
}

quota_client::ticket quota_client::submit(const routes::customer_policy& customer,
                                          base::instant now) {
  account& owner = accounts_[customer.id];
  owner.policy = customer;
  owner.relations.resize(peers_.size());
  owner.waiting.push_back({.id = ++last_ticket_, .submitted = now});
  return last_ticket_;
}

std::optional<quota_verdict> quota_client::take_verdict(ticket call) {
  const auto found = verdicts_.find(call);
  if (found == verdicts_.end()) {
    return std::nullopt;
  }
  const quota_verdict result = found->second;
  verdicts_.erase(found);
  return result;
}

bool quota_client::closed_to(const account& owner,
                             std::size_t authority,
                             base::instant submitted,
                             base::instant now) const {
  const relation& state = owner.relations[authority];
  return state.refused_until > now || state.refused_asked_at >= submitted ||
         state.unanswered_asked_at >= submitted || state.unknown_until > now ||
         peers_[authority].silent_until > now;
}

void quota_client::expire(account& owner, base::instant now) {
  while (!owner.tokens.empty() && owner.tokens.front().expires_at < now) {
    expired_tokens_ += owner.tokens.front().count;
    owner.tokens.pop_front();
  }
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    relation& state = owner.relations[i];
    if (state.open && now - state.open->asked_at >= timeout_of(peers_[i])) {
      state.unanswered_asked_at = state.open->asked_at;
      state.open.reset();
      if (++peers_[i].timeouts >= 2) {
        peers_[i].silent_until = now + options_.silent_pause;
      }
    }
  }
}

void quota_client::decide(account& owner, const quota_verdict& verdict) {
  verdicts_.emplace(owner.waiting.front().id, verdict);
  owner.waiting.pop_front();
}

void quota_client::hand_out(account& owner) {
  while (!owner.waiting.empty() && !owner.tokens.empty()) {
    token_batch& batch = owner.tokens.front();
    decide(owner, {.outcome = quota_outcome::granted,
                   .authority = batch.authority,
                   .tokens_left = owner.relations[batch.authority].tokens_left});
    if (--batch.count == 0) {
      owner.tokens.pop_front();
    }
  }
}

std::optional<quota_request> quota_client::next_request(account& owner, base::instant now) {
  const bool open = std::ranges::any_of(owner.relations,
                                        [](const relation& one) { return one.open.has_value(); });
  if (open || owner.waiting.empty()) {
    return std::nullopt;
  }
  std::optional<std::size_t> best;
  const auto response = [this](std::size_t index) {
    return peers_[index].response_us.value_or(std::numeric_limits<double>::max());
  };
  std::uint32_t wanted = 0;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const auto count = static_cast<std::uint32_t>(std::ranges::count_if(
        owner.waiting,
        [&](const waiting_call& one) { return !closed_to(owner, i, one.submitted, now); }));
    if (count > 0 && (!best || response(i) < response(*best))) {
      best = i;
      wanted = count;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  owner.relations[*best].open = question{.asked_at = now, .wanted = wanted};
  peers_[*best].sent_at = now;
  return quota_request{.authority = *best,
                       .wanted = wanted,
                       .refused_before = std::exchange(owner.refused_unasked, 0)};
}

quota_verdict quota_client::refusal(account& owner, base::instant now) {
  quota_verdict result{.outcome = quota_outcome::no_authority,
                       .retry_after = options_.unavailable_retry_after};
  std::optional<std::size_t> best;
  bool unknown = false;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    const relation& state = owner.relations[i];
    unknown = unknown || state.unknown_until > now;
    if (state.refused_asked_at != base::instant::min() && state.retry_at > now &&
        (!best || state.retry_at < owner.relations[*best].retry_at)) {
      best = i;
    }
  }
  if (best) {
    relation& state = owner.relations[*best];
    result = {.outcome = quota_outcome::above_cap,
              .retry_after = state.retry_at - now,
              .authority = best,
              .tokens_left = state.tokens_left};
    // The next call refused here is the next one in line.
    state.retry_at += to_duration(1 / owner.policy.rate_per_second);
    constexpr base::duration max_line = std::chrono::seconds(3);
    state.retry_at = std::min(state.retry_at, now + max_line);
    ++owner.refused_unasked;
  } else if (unknown) {
    result.outcome = quota_outcome::unknown_customer;
  } else if (std::ranges::any_of(owner.relations, [&](const relation& one) {
               return one.refused_until > now ||
                      one.refused_asked_at >= owner.waiting.front().submitted;
             })) {
    result.outcome = quota_outcome::above_cap;
  }
  result.retry_after = with_jitter(result.retry_after);
  return result;
}

double quota_client::own_share(base::instant now) const {
  double total = 0;
  for (const peer& one : peers_) {
    if (one.lease.share > 0 && now - one.lease_received_at < options_.lease_time) {
      total += one.lease.share;
    }
  }
  return peers_.empty() ? 0 : total / static_cast<double>(peers_.size());
}

quota_verdict quota_client::decide_detached(account& owner, base::instant now) {
  const double share = own_share(now);
  if (share <= 0 || !replied_at_) {
    return {.outcome = quota_outcome::no_authority,
            .retry_after = with_jitter(options_.unavailable_retry_after)};
  }
  // The share begins empty, as the authorities may have given out all tokens just before.
  const base::instant begin = *replied_at_ + options_.detach_after;
  if (owner.own_filled_at < begin) {
    owner.own_tokens = 0;
    owner.own_filled_at = begin;
  }
  const double rate = owner.policy.rate_per_second * share;
  const double burst = owner.policy.burst;
  const double capacity = (burst + options_.bounds.excess(burst) / 4) * share;
  owner.own_tokens =
      std::min(capacity, owner.own_tokens + rate * base::to_seconds(now - owner.own_filled_at));
  owner.own_filled_at = now;
  // Below one token the call is admitted with this probability, and the tokens are used up in
  // either case, so that as many calls are admitted as tokens were used, on average.
  const bool admitted = owner.own_tokens >= 1 || uniform(random_) < owner.own_tokens;
  owner.own_tokens = std::max(0.0, owner.own_tokens - 1);
  return {.outcome = admitted ? quota_outcome::granted_detached : quota_outcome::above_share,
          .retry_after = admitted ? base::duration(0) : with_jitter(to_duration(1 / rate)),
          .tokens_left = owner.own_tokens};
}

void quota_client::decide_closed(account& owner, base::instant now) {
  if (detached(now)) {
    while (!owner.waiting.empty()) {
      decide(owner, decide_detached(owner, now));
    }
    return;
  }
  while (!owner.waiting.empty()) {
    const base::instant submitted = owner.waiting.front().submitted;
    bool closed = now - submitted >= options_.max_wait;
    if (!closed) {
      // While the authorities are not known yet, a call waits for them.
      closed = !peers_.empty();
      for (std::size_t i = 0; i < peers_.size(); ++i) {
        closed = closed && !owner.relations[i].open && closed_to(owner, i, submitted, now);
      }
    }
    if (!closed) {
      return;
    }
    decide(owner, refusal(owner, now));
  }
}

std::vector<quota_request> quota_client::advance(const base::customer_id& customer,
                                                 base::instant now) {
  const auto found = accounts_.find(customer);
  if (found == accounts_.end()) {
    return {};
  }
  account& owner = found->second;
  expire(owner, now);
  if (detached(now)) {
    owner.tokens.clear();
  }
  hand_out(owner);
  decide_closed(owner, now);
  std::vector<quota_request> result;
  if (const auto request = next_request(owner, now)) {
    result.push_back(*request);
  }
  return result;
}

base::instant quota_client::next_event(const base::customer_id& customer, base::instant now) const {
  const auto found = accounts_.find(customer);
  base::instant first = now + options_.max_wait;
  if (found == accounts_.end() || found->second.waiting.empty()) {
    return first;
  }
  const account& owner = found->second;
  first = owner.waiting.front().submitted + options_.max_wait;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (const auto& open = owner.relations[i].open) {
      first = std::min(first, open->asked_at + timeout_of(peers_[i]));
    }
  }
  return std::max(first, now);
}

quota_client::relation* quota_client::answered(std::size_t authority,
                                               const base::customer_id& customer,
                                               base::instant asked_at) {
  const auto found = accounts_.find(customer);
  if (found == accounts_.end()) {
    return nullptr;
  }
  relation& state = found->second.relations[authority];
  if (!state.open || state.open->asked_at != asked_at) {
    return nullptr;
  }
  state.open.reset();
  return &state;
}

void quota_client::on_grant(std::size_t authority,
                            const base::customer_id& customer,
                            base::instant asked_at,
                            const quota_grant& grant,
                            base::instant now) {
  const auto found = accounts_.find(customer);
  std::uint32_t wanted = 0;
  if (found != accounts_.end()) {
    const std::optional<question>& open = found->second.relations[authority].open;
    wanted = open ? open->wanted : 0;
  }
  relation* const state = answered(authority, customer, asked_at);
  if (state == nullptr) {
    expired_tokens_ += grant.granted;
    return;
  }
  const std::uint32_t granted = std::min(grant.granted, wanted);
  state->tokens_left = grant.tokens_left;
  if (granted > 0) {
    found->second.tokens.push_back({.expires_at = asked_at + options_.bounds.token_validity(),
                                    .count = granted,
                                    .authority = authority});
  }
  if (granted < wanted) {
    state->refused_asked_at = asked_at;
    state->refused_until = now + grant.wait;
    state->retry_at = now + grant.retry_after;
  }
}

void quota_client::on_unknown(std::size_t authority,
                              const base::customer_id& customer,
                              base::instant asked_at,
                              base::instant now) {
  if (relation* const state = answered(authority, customer, asked_at)) {
    state->unknown_until = now + unknown_pause;
  }
}

bool quota_client::on_lease(std::size_t authority,
                            base::instant asked_at,
                            const quota_lease& lease,
                            base::instant now) {
  peer& from = peers_[authority];
  if (asked_at > now || asked_at <= from.lease_asked_at) {
    return false;
  }
  const auto sample = static_cast<double>((now - asked_at).count());
  from.response_us = from.response_us
                         ? *from.response_us + response_weight * (sample - *from.response_us)
                         : sample;
  from.silent_until = base::instant::min();
  from.timeouts = 0;
  from.unanswered = 0;
  const bool new_run = from.lease.run != lease.run;
  from.lease_asked_at = asked_at;
  from.lease_received_at = now;
  from.lease = lease;
  replied_at_ = now;
  return new_run;
}

std::vector<std::size_t> quota_client::heartbeats_due(base::instant now) {
  std::vector<std::size_t> due;
  for (std::size_t i = 0; i < peers_.size(); ++i) {
    if (peers_[i].counted_at == base::instant::min() ||
        now - peers_[i].counted_at >= options_.heartbeat_interval) {
      peers_[i].counted_at = now;
      ++peers_[i].unanswered;
    }
    if (peers_[i].sent_at == base::instant::min() ||
        now - peers_[i].sent_at >= options_.heartbeat_interval) {
      peers_[i].sent_at = now;
      due.push_back(i);
    }
  }
  return due;
}

bool quota_client::detached(base::instant now) const {
  return replied_at_ && now - *replied_at_ > options_.detach_after;
}

}  // namespace catkintack::limits
