#include "policies.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace catkintack::bench {
namespace {

using base::duration;
using base::instant;
using routing::attempt_result;

constexpr std::uint32_t max_attempts = 3;
constexpr duration report_decay_time = std::chrono::milliseconds(100);
constexpr int status_unavailable = 503;

struct endpoint_view {
  routing::upstream_record record;
  double own_load = 0;
  double other_load = 0;  ///< Load from other hosts in the last report.
  instant reported{};
};

/// Scores an endpoint; the endpoint with the lowest score is chosen.
using score_hook = std::function<double(instant, const endpoint_view&, double mean_other_load)>;

struct baseline_options {
  std::size_t choices = 0;  ///< Endpoints sampled per decision; 0 for all.
  score_hook score;
};

class baseline {
 public:
  baseline(baseline_options options, std::uint64_t seed)
      : options_(std::move(options)), random_(seed) {}

  std::vector<gateway::gateway_action> handle(instant now, const gateway::gateway_event& event) {
    actions_.clear();
    std::visit([&](const auto& concrete) { on(now, concrete); }, event);
    return actions_;
  }

 private:
  struct call_state {
    std::vector<std::size_t> tried;
    std::size_t target = 0;
  };

  template <class Other>
  void on(instant, const Other&) {}

  void on(instant, const gateway::upstreams_listed& event) {
    std::map<base::upstream_id, endpoint_view> before;
    for (endpoint_view& endpoint : endpoints_) {
      before[endpoint.record.id] = endpoint;
    }
    // Calls in flight hold indices into endpoints_, so indices must stay valid; new endpoints are
    // appended.
    for (endpoint_view& endpoint : endpoints_) {
      endpoint.record.leaving = true;
    }
    for (const auto& record : event.upstreams) {
      if (before.contains(record.id)) {
        find(record.id).record = record;
      } else {
        endpoints_.push_back({record});
      }
    }
  }

  endpoint_view& find(const base::upstream_id& id) {
    return *std::find_if(endpoints_.begin(), endpoints_.end(),
                         [&id](const endpoint_view& each) { return each.record.id == id; });
  }

  void on(instant now, const gateway::call_arrived& event) {
    send(now, event.call, calls_[event.call]);
  }

  void send(instant now, base::call_id id, call_state& call) {
    const auto target = choose(now, call.tried);
    if (!target || call.tried.size() == max_attempts) {
      finish_not_run(id);
      return;
    }
    call.target = *target;
    call.tried.push_back(*target);
    endpoints_[*target].own_load += 1;
    actions_.emplace_back(gateway::send_attempt{
        id, base::attempt_number(call.tried.size()), endpoints_[*target].record, {}});
  }

  void finish_not_run(base::call_id id) {
    actions_.emplace_back(gateway::finish_call{
        id, {delivery::outcome::not_run, status_unavailable, nullptr, {}, {}}});
    calls_.erase(id);
  }

  std::optional<std::size_t> choose(instant now, const std::vector<std::size_t>& tried) {
    std::vector<std::size_t> eligible = candidates(tried, false);
    if (eligible.empty()) {
      eligible = candidates(tried, true);
    }
    if (eligible.empty()) {
      return std::nullopt;
    }
    std::shuffle(eligible.begin(), eligible.end(), random_);
    double mean = 0;
    for (const std::size_t each : eligible) {
      mean += endpoints_[each].other_load / static_cast<double>(eligible.size());
    }
    const std::size_t drawn =
        options_.choices == 0 ? eligible.size() : std::min(options_.choices, eligible.size());
    return *std::min_element(eligible.begin(),
                             eligible.begin() + static_cast<std::ptrdiff_t>(drawn),
                             [&](std::size_t left, std::size_t right) {
                               return options_.score(now, endpoints_[left], mean) <
                                      options_.score(now, endpoints_[right], mean);
                             });
  }

  std::vector<std::size_t> candidates(const std::vector<std::size_t>& tried, bool remote) const {
    std::vector<std::size_t> eligible;
    for (std::size_t index = 0; index < endpoints_.size(); ++index) {
      const routing::upstream_record& record = endpoints_[index].record;
      const bool other_region = record.region == base::region_id("north");
      const bool used = std::find(tried.begin(), tried.end(), index) != tried.end();
      if (!used && !record.leaving && other_region == remote) {
        eligible.push_back(index);
      }
    }
    return eligible;
  }

  void on(instant now, const gateway::attempt_ended& event) {
    const auto found = calls_.find(event.call);
    endpoint_view& endpoint = endpoints_[found->second.target];
    endpoint.own_load -= 1;
    if (event.load) {
      endpoint.other_load =
          std::max(0.0, event.load->running + event.load->queued - endpoint.own_load);
      endpoint.reported = now;
    }
    if (event.result != attempt_result::answered) {
      send(now, event.call, found->second);
      return;
    }
    actions_.emplace_back(gateway::finish_call{event.call,
                                               {delivery::outcome::answer,
                                                event.upstream_response->status,
                                                event.upstream_response,
                                                {},
                                                {}}});
    calls_.erase(found);
  }

  baseline_options options_;
  std::mt19937_64 random_;
  std::vector<endpoint_view> endpoints_;
  std::unordered_map<base::call_id, call_state> calls_;
  std::vector<gateway::gateway_action> actions_;
};

double no_score(instant, const endpoint_view&, double) { return 0; }
double own_score(instant, const endpoint_view& endpoint, double) { return endpoint.own_load; }
double estimate_score(instant now, const endpoint_view& endpoint, double mean) {
  const double decay =
      std::exp(-base::to_seconds(now - endpoint.reported) / base::to_seconds(report_decay_time));
  return endpoint.own_load + decay * endpoint.other_load + (1 - decay) * mean;
}

named_policy make_baseline(std::string name, const baseline_options& options) {
  return {std::move(name), [options](std::uint64_t seed) -> host_policy {
            const auto state = std::make_shared<baseline>(options, seed);
            return [state](instant now, const gateway::gateway_event& event) {
              return state->handle(now, event);
            };
          }};
}

}  // namespace

std::vector<named_policy> baseline_policies() {
  return {make_baseline("random", {1, no_score}), make_baseline("least-own", {0, own_score}),
          make_baseline("two-own", {2, own_score}),
          make_baseline("two-estimate", {2, estimate_score}),
          make_baseline("least-estimate", {0, estimate_score})};
}

policy_factory core_policy(const gateway::gateway_options& options) {
  return [options](std::uint64_t seed) -> host_policy {
    auto core = std::make_shared<gateway::gateway>(options, base::seeded_random_hook(seed),
                                                   [](auto&&...) {});
    config::plans_list plans;
    const base::customer_id customer("mercato");
    plans.customers[customer] = {customer, base::plan_id("gold"), "hash"};
    config::allowances_list allowances;
    constexpr std::uint32_t unbounded = 1'000'000'000;
    const config::allowance entry{base::plan_id("gold"), base::service_id("scan-service"),
                                  unbounded, unbounded, unbounded};
    allowances.allowances[{entry.plan, entry.service}] = entry;
    core->handle({}, gateway::lists_adopted{std::make_shared<config::lists>(plans, allowances)});
    return [core](instant now, const gateway::gateway_event& event) {
      return core->handle(now, event);
    };
  };
}

}  // namespace catkintack::bench
