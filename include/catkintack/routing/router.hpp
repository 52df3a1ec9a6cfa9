/// @file
/// Choice of an upstream for an attempt.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/routing/attempt_result.hpp"
#include "catkintack/routing/load_report.hpp"
#include "catkintack/routing/upstream_record.hpp"

namespace catkintack::routing {

/// @brief Where the router stands.
struct router_options {
  base::region_id region;                  ///< Upstreams of this region come first.
  base::failure_domain_id failure_domain;  ///< Breaks ties between equals.
};

/// @brief An attempt that has ended, as the router needs to know it.
struct attempt_observation {
  attempt_result result = attempt_result::answered;
  base::duration elapsed{};         ///< From sending to the end.
  std::optional<load_report> load;  ///< Report on the answer, if any.
  bool server_error = false;        ///< The answer was a 5xx.
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
  bool knows(const base::service_id& service) const;

  /// @brief Chooses an upstream for an attempt and counts the attempt as in flight there.
  /// @param now The time.
  /// @param service The service.
  /// @param exclude Upstreams already tried by this call.
  /// @return The upstream, or null when none may take new work.
  const upstream_record* choose(base::instant now,
                                const base::service_id& service,
                                const std::vector<base::upstream_id>& exclude);

  /// @brief Learns from the end of an attempt that choose() started.
  /// @param now The time.
  /// @param upstream The upstream tried.
  /// @param observation How the attempt ended.
  void on_attempt_ended(base::instant now,
                        const base::upstream_id& upstream,
                        const attempt_observation& observation);

  /// @brief Attempts of this host in flight at an upstream.
  /// @param upstream The upstream.
  /// @return The count; 0 for an unknown upstream.
  std::uint32_t in_flight(const base::upstream_id& upstream) const;

 private:
  struct upstream_state {
    upstream_record record;
    std::uint32_t in_flight = 0;
    bool reported_leaving = false;
  };

  const upstream_record* choose_among(const std::vector<upstream_state*>& candidates);

  router_options options_;
  base::random_hook random_;
  std::map<base::upstream_id, upstream_state> states_;
  std::map<base::service_id, std::vector<upstream_state*>> by_service_;
};

}  // namespace catkintack::routing
