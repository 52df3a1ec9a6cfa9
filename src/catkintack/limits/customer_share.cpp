#include "catkintack/limits/customer_share.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

namespace catkintack::limits {
namespace {

/// Rates below this, in calls per second, count as none.
constexpr double min_rate = 1e-4;

/// @brief The part of a flow's demand that its floor does not cover.
struct open_demand {
  double demand = 0;
  double floor = 0;
};

/// @brief Returns the level up to which demands are served so that they use a capacity above the
/// floors; infinity if all of them fit.
double max_min_level(const std::vector<open_demand>& demands, double capacity) {
  const auto used_at = [&](double level) {
    double used = 0;
    for (const open_demand& one : demands) {
      used += std::max(0.0, std::min(one.demand, level) - one.floor);
    }
    return used;
  };
  double high = 0;
  for (const open_demand& one : demands) {
    high = std::max(high, one.demand);
  }
  if (used_at(high) <= capacity) {
    return std::numeric_limits<double>::infinity();
  }
  double low = 0;
  constexpr int bisections = 20;
  for (int i = 0; i < bisections; ++i) {
    const double middle = (low + high) / 2;
    (used_at(middle) < capacity ? low : high) = middle;
  }
  return high;
}

}  // namespace

void customer_share::rate_meter::advance(base::instant now, base::duration window) {
  per_second *= std::exp(-base::to_seconds(now - updated_at) / base::to_seconds(window));
  updated_at = now;
}

void customer_share::rate_meter::count(base::instant now, base::duration window) {
  advance(now, window);
  per_second += 1 / base::to_seconds(window);
}

std::pair<std::uint32_t, std::uint32_t> customer_share::rank_of(const flow_key& key) {
  return {key.customer_rank, key.route_rank};
}

customer_share::customer_share(customer_share_options options)
    : options_(options), in_use_({.customer_idle_timeout = options.rate_window}) {}

void customer_share::record_reading(base::instant now,
                                    const base::service_id& service,
                                    bool saturated) {
  service_state& state = services_[service];
  const double by_age = state.read_at == base::instant::min()
                            ? 1.0
                            : 1 - std::exp(-base::to_seconds(now - state.read_at) /
                                           base::to_seconds(options_.reading_window));
  in_use_.record_saturation(service, saturated, std::min(options_.max_reading_weight, by_age));
  state.read_at = now;
}

void customer_share::set_slots(const base::service_id& service, std::uint32_t slots) {
  services_[service].slots = slots;
}

customer_share::flow& customer_share::find_or_add(base::instant now,
                                                  service_state& state,
                                                  const share_request& request) {
  const auto [found, inserted] = state.flows.try_emplace(
      flow_key{request.customer_rank, request.route_rank, request.customer});
  if (inserted) {
    found->second.demand.updated_at = now;
    found->second.refilled_at = now;
    found->second.tokens = options_.burst_calls;
  }
  found->second.seen_at = now;
  return found->second;
}

bool customer_share::is_saturated(base::instant now, const base::service_id& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.read_at != base::instant::min() &&
         now - found->second.read_at <= options_.reading_timeout &&
         in_use_.saturated_ratio(service) >= options_.min_saturation;
}

void customer_share::refill(base::instant now, flow& one) const {
  const double capacity = options_.burst_calls + options_.burst_seconds * one.share;
  one.tokens = std::min(capacity, one.tokens + one.share * base::to_seconds(now - one.refilled_at));
  one.refilled_at = now;
}

void customer_share::arrived(base::instant now, const share_request& request) {
  find_or_add(now, services_[request.service], request).demand.count(now, options_.rate_window);
}

void customer_share::update_shares(base::instant now,
                                   const base::service_id& service,
                                   service_state& state) {
  if (state.shared_at != base::instant::min() && now - state.shared_at < options_.level_interval) {
    return;
  }
  state.shared_at = now;
  for (auto& [key, one] : state.flows) {
    refill(now, one);
    one.demand.advance(now, options_.rate_window);
  }
  in_use_.evict_idle(now);
  // A flow of retries only has no demand but keeps its tokens.
  std::erase_if(state.flows, [&](const auto& entry) {
    return entry.second.demand.per_second < min_rate &&
           now - entry.second.seen_at > options_.rate_window;
  });
  state.sole = std::ranges::all_of(state.flows, [&](const auto& entry) {
    return entry.first.customer == state.flows.begin()->first.customer;
  });
  const double above =
      (in_use_.saturated_ratio(service) - options_.min_saturation) / (1 - options_.min_saturation);
  const double served_fraction = std::clamp(1 - above * above, options_.min_served, 1.0);
  share_by_rank(state, served_fraction);
  limit_to_fleet_share(state, served_fraction);
}

void customer_share::share_by_rank(service_state& state, double served_fraction) const {
  double left = 0;
  std::vector<open_demand> all;
  for (const auto& [key, one] : state.flows) {
    left += served_fraction * one.demand.per_second;
    all.push_back({.demand = one.demand.per_second});
  }
  const double capacity = left;
  const double equal_level = max_min_level(all, capacity);
  for (auto& [key, one] : state.flows) {
    one.floor = std::min(options_.floor * served_fraction * one.demand.per_second,
                         options_.max_floor * equal_level);
    left -= one.floor;
  }
  for (auto begin = state.flows.begin(); begin != state.flows.end();) {
    const bool highest = begin == state.flows.begin();
    std::vector<open_demand> rank_demands;
    auto end = begin;
    for (; end != state.flows.end() && rank_of(end->first) == rank_of(begin->first); ++end) {
      rank_demands.push_back({end->second.demand.per_second, end->second.floor});
    }
    const double level = max_min_level(rank_demands, std::max(0.0, left));
    for (; begin != end; ++begin) {
      flow& one = begin->second;
      // Floors may lower the level of the highest rank too.
      one.limit =
          !highest && level < equal_level ? share_rule::higher_priority : share_rule::equal_share;
      left -= std::max(0.0, std::min(one.demand.per_second, level) - one.floor);
      // A customer below the level is not limited to its measured demand, which lags behind.
      one.share = std::max(one.floor, std::min(level, capacity));
      one.limited = std::isfinite(level);
    }
  }
}

void customer_share::limit_to_fleet_share(service_state& state, double served_fraction) const {
  if (state.slots == 0 || state.service_seconds <= 0) {
    return;
  }
  const double capacity = state.slots / state.service_seconds;
  double demand = 0;
  for (const auto& [key, one] : state.flows) {
    demand += one.demand.per_second;
  }
  for (auto& [own_key, own] : state.flows) {
    const double own_demand = own.demand.per_second;
    if (own_demand * static_cast<double>(state.flows.size()) <= capacity) {
      continue;  // Less than an equal share of the fleet.
    }
    // The other customers' calls at this host stand for their mix in the fleet.
    const double scale = std::max(0.0, capacity / served_fraction - own_demand) /
                         std::max(demand - own_demand, min_rate);
    double left = capacity;
    std::vector<open_demand> same_rank{{.demand = own_demand}};
    std::vector<open_demand> all{{.demand = own_demand}};
    for (const auto& [key, one] : state.flows) {
      const double other = scale * one.demand.per_second;
      if (key == own_key) {
        continue;
      }
      all.push_back({.demand = other});
      if (rank_of(key) == rank_of(own_key)) {
        same_rank.push_back({.demand = other});
      } else {
        left -= rank_of(key) < rank_of(own_key) ? other : scale * one.floor;
      }
    }
    double level = max_min_level(same_rank, std::max(0.0, left));
    // The floor was derived from the equal share at this host, which may be larger.
    level = std::max(level, std::min(own.floor, options_.max_floor * max_min_level(all, capacity)));
    if (level < own.share) {
      own.share = level;
      own.limited = true;
      own.limit = share_rule::fleet_share;
    }
  }
}

share_decision customer_share::decide(base::instant now, const share_request& request) {
  service_state& state = services_[request.service];
  share_decision result{.in_flight = in_use_.in_flight(request.service, request.customer)};
  if (!is_saturated(now, request.service)) {
    return result;
  }
  find_or_add(now, state, request);
  update_shares(now, request.service, state);
  flow& own = find_or_add(now, state, request);
  refill(now, own);
  result.share = own.share;
  if (own.tokens < 1 && own.limited && !state.sole) {
    result.rule = own.limit;
    result.seconds_to_next = (1 - own.tokens) / std::max(own.share, min_rate);
  }
  result.admitted = result.rule == share_rule::none;
  result.may_queue = result.admitted;
  return result;
}

void customer_share::started(base::instant now, const share_request& request) {
  flow& own = find_or_add(now, services_[request.service], request);
  // Calls before the shortage do not count, so that it begins with a burst for each customer.
  if (is_saturated(now, request.service)) {
    own.tokens = std::max(0.0, own.tokens - 1);
  }
  in_use_.started(request.service, request.customer);
}

void customer_share::ended(const base::service_id& service,
                           const base::customer_id& customer,
                           base::duration took) {
  double& mean = services_[service].service_seconds;
  constexpr double weight = 0.05;
  const double seconds = base::to_seconds(took);
  mean = mean <= 0 ? seconds : mean + weight * (seconds - mean);
  in_use_.ended(service, customer);
}

}  // namespace catkintack::limits
