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
constexpr duration report_fade = std::chrono::milliseconds(100);
constexpr int status_unavailable = 503;

struct known_endpoint {
  routing::upstream_record record;
  double own = 0;
  double others = 0;  ///< Load of other hosts at the last report.
  instant reported{};
};

/// Scores an endpoint; the lowest is chosen.
using score_hook = std::function<double(instant, const known_endpoint&, double mean_others)>;

struct baseline_options {
  std::size_t choices = 0;  ///< Endpoints drawn for a choice; 0 for all.
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
    std::map<base::upstream_id, known_endpoint> before;
    for (known_endpoint& endpoint : endpoints_) {
      before[endpoint.record.id] = endpoint;
    }
    // Positions must stay, since calls in flight hold them; new ones are appended.
    for (known_endpoint& endpoint : endpoints_) {
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

  known_endpoint& find(const base::upstream_id& id) {
    return *std::find_if(endpoints_.begin(), endpoints_.end(),
                         [&id](const known_endpoint& each) { return each.record.id == id; });
  }

  void on(instant now, const gateway::call_arrived& event) {
    send(now, event.call, calls_[event.call]);
  }

  void send(instant now, base::call_id id, call_state& call) {
    const auto target = choose(now, call.tried);
    if (!target || call.tried.size() == max_attempts) {
      fail(id);
      return;
    }
    call.target = *target;
    call.tried.push_back(*target);
    endpoints_[*target].own += 1;
    actions_.emplace_back(gateway::send_attempt{
        id, base::attempt_number(call.tried.size()), endpoints_[*target].record, {}});
  }

  void fail(base::call_id id) {
    actions_.emplace_back(gateway::finish_call{
        id, {delivery::outcome::not_run, status_unavailable, nullptr, {}, {}}});
    calls_.erase(id);
  }

  std::optional<std::size_t> choose(instant now, const std::vector<std::size_t>& tried) {
    std::vector<std::size_t> open = candidates(tried, false);
    if (open.empty()) {
      open = candidates(tried, true);
    }
    if (open.empty()) {
      return std::nullopt;
    }
    std::shuffle(open.begin(), open.end(), random_);
    double mean = 0;
    for (const std::size_t each : open) {
      mean += endpoints_[each].others / static_cast<double>(open.size());
    }
    const std::size_t drawn =
        options_.choices == 0 ? open.size() : std::min(options_.choices, open.size());
    return *std::min_element(open.begin(), open.begin() + static_cast<std::ptrdiff_t>(drawn),
                             [&](std::size_t left, std::size_t right) {
                               return options_.score(now, endpoints_[left], mean) <
                                      options_.score(now, endpoints_[right], mean);
                             });
  }

  std::vector<std::size_t> candidates(const std::vector<std::size_t>& tried, bool remote) const {
    std::vector<std::size_t> open;
    for (std::size_t index = 0; index < endpoints_.size(); ++index) {
      const routing::upstream_record& record = endpoints_[index].record;
      const bool other_region = record.region == base::region_id("north");
      const bool used = std::find(tried.begin(), tried.end(), index) != tried.end();
      if (!used && !record.leaving && other_region == remote) {
        open.push_back(index);
      }
    }
    return open;
  }

  void on(instant now, const gateway::attempt_ended& event) {
    const auto found = calls_.find(event.call);
    known_endpoint& endpoint = endpoints_[found->second.target];
    endpoint.own -= 1;
    if (event.load) {
      endpoint.others = std::max(0.0, event.load->running + event.load->queued - endpoint.own);
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
  std::vector<known_endpoint> endpoints_;
  std::unordered_map<base::call_id, call_state> calls_;
  std::vector<gateway::gateway_action> actions_;
};

double no_score(instant, const known_endpoint&, double) { return 0; }
double own_score(instant, const known_endpoint& endpoint, double) { return endpoint.own; }
double estimate_score(instant now, const known_endpoint& endpoint, double mean) {
  const double fade =
      std::exp(-base::to_seconds(now - endpoint.reported) / base::to_seconds(report_fade));
  return endpoint.own + fade * endpoint.others + (1 - fade) * mean;
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
