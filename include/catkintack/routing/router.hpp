/// @file
/// Selection of an upstream for an attempt.
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

/// @brief Which upstreams may be selected.
enum class choice_scope {
  any_region,  ///< Upstreams of other regions are a last resort.
  own_region,  ///< Only healthy upstreams of this region.
};

/// @brief Tracks the state of every upstream from the view of one host and selects among them. Not
/// thread-safe.
class router {
 public:
  router(router_options options, base::random_hook random);

  /// @brief Replaces the list of upstreams. The state of those that remain is kept.
  /// @param upstreams All upstreams of all services.
  void update_upstreams(base::instant now, std::vector<upstream_record> upstreams);

  /// @brief Returns whether any upstream of the service was ever listed.
  bool has_service(const base::service_id& service) const;

  /// @brief Selects an upstream for an attempt and counts the attempt as in flight there.
  /// @param exclude Upstreams already tried by this call.
  /// @param scope Which upstreams may be selected.
  /// @return The upstream, or null if none can accept new work.
  const upstream_record* choose(base::instant now,
                                const base::service_id& service,
                                const std::vector<base::upstream_id>& exclude,
                                choice_scope scope = choice_scope::any_region);

  /// @brief Returns whether an upstream is at its limit of attempts in flight and will accept work
  /// once some have ended, so that waiting can help.
  /// @param exclude Upstreams already tried by this call.
  bool at_capacity(base::instant now,
                   const base::service_id& service,
                   const std::vector<base::upstream_id>& exclude) const;

  /// @brief Returns the response latency of a service; an empty tracker for an unknown service.
  latency_tracker latency(const base::service_id& service) const;

  /// @brief Returns the maximum number of attempts this host may have in flight at a service: the
  /// sum over upstreams of this region that accept work.
  std::uint32_t max_in_flight(base::instant now, const base::service_id& service) const;

  /// @brief Records the outcome of an attempt that choose() started.
  void on_attempt_ended(base::instant now,
                        const base::upstream_id& upstream,
                        const attempt_observation& observation);

  /// @brief Selects the upstream of this region to probe: the one with no attempts in flight whose
  /// last contact is the oldest. Counts it as probed.
  /// @return The upstream, or null if every last contact is more recent than probe_after.
  const upstream_record* choose_probe(base::instant now);

  /// @brief Records the load report of a probe.
  void on_probe_report(base::instant now,
                       const base::upstream_id& upstream,
                       const load_report& report);

  /// @brief Returns the number of attempts of this host in flight at an upstream; 0 if it is
  /// unknown.
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
  candidate_list local_;        ///< For the current selection.
  candidate_list ejected_;      ///< For the current selection, in this region.
  candidate_list remote_;       ///< For the current selection.
  bool local_full_ = false;     ///< A local upstream is full in the current selection.
  double mean_other_load_ = 0;  ///< For the current selection.
  double remote_tokens_;
};

}  // namespace catkintack::routing
