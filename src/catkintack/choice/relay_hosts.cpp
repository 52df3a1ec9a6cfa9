#include "catkintack/choice/relay_hosts.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::choice {
namespace {

void shuffle(std::vector<base::address>& hosts, const base::random_hook& random) {
  for (std::size_t i = hosts.size(); i > 1; --i) {
    std::swap(hosts[i - 1], hosts[random() % i]);
  }
}

}  // namespace

void relay_hosts::add(const base::address& host) {
  if (hosts_.size() < options_.max_hosts) {
    hosts_.try_emplace(host);
  }
}

void relay_hosts::on_offer(const base::address& host, const relay_offer& offer, base::instant now) {
  add(host);
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.offer = offer;
    found->second.offered_at = now;
    found->second.stated_at = now;
  }
}

void relay_hosts::on_refusal(const base::address& host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.offer.available = false;
  }
}

void relay_hosts::on_failure(const base::address& host, base::instant now) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.paused_until = now + options_.failure_pause;
  }
}

void relay_hosts::on_success(const base::address& host, base::instant now) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    found->second.offered_at = now;
  }
}

bool relay_hosts::usable(const record& host, base::instant now) const {
  return host.offer.available && now < host.offered_at + options_.offer_lifetime &&
         now >= host.paused_until;
}

bool relay_hosts::may_take(const record& host, base::instant now, const residence& allowed) const {
  constexpr std::uint32_t min_version = 1;
  return usable(host, now) &&
         (!allowed.restricted() ||
          (allowed.allows(host.offer.region) && host.offer.protocol_version >= min_version &&
           now < host.stated_at + options_.offer_lifetime));
}

int relay_hosts::distance(const record& host) const {
  if (host.offer.region != options_.region) {
    return 2;
  }
  return host.offer.failure_domain == options_.failure_domain ? 0 : 1;
}

std::optional<base::address> relay_hosts::choose(base::instant now,
                                                 const std::set<base::address>& tried,
                                                 const load_hook& load,
                                                 const base::random_hook& random,
                                                 const residence& allowed) const {
  std::vector<base::address> nearest;
  int nearest_distance = 0;
  for (const auto& [where, host] : hosts_) {
    if (!may_take(host, now, allowed) || tried.contains(where)) {
      continue;
    }
    const int host_distance = distance(host);
    if (nearest.empty() || host_distance < nearest_distance) {
      nearest.clear();
      nearest_distance = host_distance;
    }
    if (host_distance == nearest_distance) {
      nearest.push_back(where);
    }
  }
  if (nearest.empty()) {
    return std::nullopt;
  }
  const base::address& one = nearest[random() % nearest.size()];
  const base::address& other = nearest[random() % nearest.size()];
  return load(other) < load(one) ? other : one;
}

std::vector<base::address> relay_hosts::hosts_to_ask(base::instant now,
                                                     std::size_t available,
                                                     std::size_t others,
                                                     const base::random_hook& random,
                                                     const std::set<base::region_id>& regions) {
  std::vector<base::address> with_offer;
  std::vector<base::address> rest;
  for (const auto& [where, host] : hosts_) {
    (usable(host, now) ? with_offer : rest).push_back(where);
  }
  shuffle(with_offer, random);
  shuffle(rest, random);
  std::ranges::stable_sort(rest, {}, [&](const auto& host) { return hosts_.at(host).asked_at; });
  bool enough = with_offer.size() >= available;
  std::vector<base::address> renewed(
      with_offer.begin(),
      with_offer.begin() + static_cast<std::ptrdiff_t>(std::min(with_offer.size(), available)));
  for (const base::region_id& region : regions) {
    const residence allowed = residence::of({region});
    std::size_t count = 0;
    for (const base::address& host : with_offer) {
      if (count < available && may_take(hosts_.at(host), now, allowed)) {
        ++count;
        if (std::ranges::find(renewed, host) == renewed.end()) {
          renewed.push_back(host);
        }
      }
    }
    enough = enough && count >= available;
  }
  with_offer = std::move(renewed);
  rest.resize(enough ? 0 : std::min(rest.size(), others));
  with_offer.insert(with_offer.end(), rest.begin(), rest.end());
  for (const base::address& host : with_offer) {
    hosts_.at(host).asked_at = now;
  }
  return with_offer;
}

std::vector<base::address> relay_hosts::some_hosts(std::size_t count,
                                                   const base::random_hook& random) const {
  std::vector<base::address> result;
  for (const auto& [where, host] : hosts_) {
    result.push_back(where);
  }
  shuffle(result, random);
  result.resize(std::min(result.size(), count));
  return result;
}

}  // namespace catkintack::choice
