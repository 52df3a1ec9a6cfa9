/// @file
/// Choice of an upstream for an attempt.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/routing/attempt_observation.hpp"
#include "catkintack/routing/latency_tracker.hpp"
#include "catkintack/routing/report_correlation.hpp"
#include "catkintack/routing/router_options.hpp"
#include "catkintack/routing/upstream_record.hpp"
#include "catkintack/routing/upstream_state.hpp"

namespace catkintack::routing {

/// @brief Which upstreams a choice may fall on.
enum class choice_scope {
  any_region,  ///< Other regions as the last resort.
  own_region,  ///< Healthy upstreams of this region only.
};

/// @brief What one host knows of every upstream, and its choice among them. Not thread-safe.
class router {
 public:
  router(router_options options, base::random_hook random);

  /// @brief Replaces the list of upstreams; knowledge of those that remain is kept.
  /// @param now The time.
  /// @param upstreams All upstreams of all services.
  void update_upstreams(base::instant now, std::vector<upstream_record> upstreams);

  /// @brief Whether any upstream of the service was ever listed.
  /// @param service The service.
  /// @return False for an unknown service.
  bool has_service(const base::service_id& service) const;

  /// @brief Chooses an upstream for an attempt and counts the attempt as in flight there.
  /// @param now The time.
  /// @param service The service.
  /// @param exclude Upstreams already tried by this call.
  /// @param scope Which upstreams may be chosen.
  /// @return The upstream, or null when none may take new work.
  const upstream_record* choose(base::instant now,
                                const base::service_id& service,
                                const std::vector<base::upstream_id>& exclude,
                                choice_scope scope = choice_scope::any_region);

  /// @brief Whether an upstream would take work, once attempts in flight have ended.
  /// @param now The time.
  /// @param service The service.
  /// @param exclude Upstreams already tried by this call.
  /// @return True when waiting can help.
  bool at_capacity(base::instant now,
                   const base::service_id& service,
                   const std::vector<base::upstream_id>& exclude) const;

  /// @brief Latencies of a service's answers.
  /// @param service The service.
  /// @return What is known; nothing for an unknown service.
  latency_tracker latency(const base::service_id& service) const;

  /// @brief Attempts that this host may have in flight at a service.
  /// @param now The time.
  /// @param service The service.
  /// @return The sum over upstreams of this region that take work.
  std::uint32_t max_in_flight(base::instant now, const base::service_id& service) const;

  /// @brief Learns from the end of an attempt that choose() started.
  /// @param now The time.
  /// @param upstream The upstream tried.
  /// @param observation How the attempt ended.
  void on_attempt_ended(base::instant now,
                        const base::upstream_id& upstream,
                        const attempt_observation& observation);

  /// @brief The upstream of this region that a probe would tell most about: the one without
  /// attempts in flight from which nothing was heard for longest. Counts it as probed.
  /// @param now The time.
  /// @return The upstream, or null when each was heard within the probe age.
  const upstream_record* choose_probe(base::instant now);

  /// @brief Learns from a report that a probe brought.
  /// @param now The time.
  /// @param upstream The upstream probed.
  /// @param report Its report.
  void on_probe_report(base::instant now,
                       const base::upstream_id& upstream,
                       const load_report& report);

  /// @brief Attempts of this host in flight at an upstream.
  /// @param upstream The upstream.
  /// @return The count; 0 for an unknown upstream.
  std::uint32_t in_flight(const base::upstream_id& upstream) const;

 private:
  struct service_state {
    std::vector<upstream_state*> upstreams;
    latency_tracker latency;
    report_correlation reports;
  };

  using candidate_list = std::vector<upstream_state*>;

  void find_candidates(base::instant now,
                       const service_state& service,
                       const std::vector<base::upstream_id>& exclude);
  bool may_use_ejected(base::instant now, const service_state& service) const;
  bool full(const upstream_state& state) const;
  bool is_local(const upstream_state& state) const;
  bool take_remote_token();
  upstream_state* best_of(base::instant now,
                          const service_state& service,
                          const candidate_list& candidates);
  double noise();

  router_options options_;
  base::random_hook random_;
  std::map<base::upstream_id, upstream_state> states_;
  std::map<base::service_id, service_state> by_service_;
  candidate_list local_;        ///< Of the present choice.
  candidate_list ejected_;      ///< Of the present choice, in this region.
  candidate_list remote_;       ///< Of the present choice.
  bool local_full_ = false;     ///< In the present choice, an upstream here is at its ceiling.
  double mean_other_load_ = 0;  ///< Of the present choice.
  double remote_tokens_;
};

}  // namespace catkintack::routing
