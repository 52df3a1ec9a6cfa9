/// @file
/// State of one upstream as observed by one host, with its age.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "catkintack/routing/attempt_observation.hpp"
#include "catkintack/routing/router_options.hpp"
#include "catkintack/routing/upstream_record.hpp"

namespace catkintack::routing {

/// @brief Service-wide figures used in scores.
struct service_figures {
  double mean_other_load = 0;    ///< Mean load from other hosts over the service's upstreams.
  double mean_latency = 0;       ///< Mean latency of answered attempts, in seconds; 0 if unknown.
  double report_confidence = 1;  ///< Weight to give load reports, between 0 and 1.
};

/// @brief State of one upstream. Reports, failures and warm-up lose weight with age.
class upstream_state {
 public:
  /// @brief Starts tracking an upstream.
  /// @param cold Whether it needs a warm-up.
  upstream_state(base::instant now, upstream_record record, bool cold);

  /// @brief Returns the upstream as listed.
  const upstream_record& record() const { return record_; }
  /// @brief Replaces the record.
  void update(upstream_record record);

  /// @brief Records an attempt of this host at the time of sending.
  /// @param excess Reported load above the service's mean at that time.
  void on_sent(base::instant now, double excess);
  /// @brief Records the outcome of an attempt.
  /// @return The excess recorded when it was sent.
  double on_ended(base::instant now,
                  const attempt_observation& observation,
                  const router_options& options);
  /// @brief Records a load report that arrived without an attempt.
  void on_report(base::instant now, const load_report& report);

  /// @brief Records a probe of this host at the time of sending.
  void on_probed(base::instant now) { last_contact_ = now; }
  /// @brief Returns when the last report arrived, the last probe was sent or tracking started.
  base::instant last_contact() const { return last_contact_; }

  /// @brief Returns the number of attempts of this host in flight.
  std::uint32_t in_flight() const { return static_cast<std::uint32_t>(in_flight_.size()); }
  /// @brief Returns the load from other hosts at the last report, in requests; 0 without a report.
  double other_load() const { return other_load_; }
  /// @brief Returns when the last report arrived; none without a report.
  std::optional<base::instant> reported_at() const { return reported_at_; }
  /// @brief Returns whether it accepts no new work, according to the list or its own report.
  bool leaving(base::instant now, const router_options& options) const;
  /// @brief Returns whether it is excluded from selection because of failures.
  bool ejected(base::instant now) const { return now < ejected_until_; }

  /// @brief Returns the reported load of other hosts above the service's mean, decayed by age, in
  /// requests; 0 without a report.
  /// @param mean_other_load The service's mean.
  double excess(base::instant now, const router_options& options, double mean_other_load) const;
  /// @brief Returns the cost of selecting this upstream; lower is better.
  /// @param noise A random number between -1 and 1; it replaces reports that do not predict
  /// latency.
  /// @return Estimated load per slot, including failures, overdue attempts and warm-up.
  double score(base::instant now,
               const router_options& options,
               const service_figures& service,
               double noise) const;

 private:
  struct sent_attempt {
    base::instant at{};
    double excess = 0;
  };

  void on_failure(base::instant now, const router_options& options);
  void on_success(base::instant now, const router_options& options);
  double overdue(base::instant now, const router_options& options, double mean_latency) const;
  double warm_up_factor(base::instant now, const router_options& options) const;

  upstream_record record_;
  std::vector<sent_attempt> in_flight_;  ///< Attempts of this host in flight.
  double other_load_ = 0;
  base::instant last_contact_;
  std::optional<base::instant> reported_at_;
  std::optional<base::instant> reported_leaving_at_;
  std::optional<base::instant> warm_up_started_at_;  ///< Start of the warm-up.
  double failure_load_ = 0;                          ///< At the time last_failure_at_.
  base::instant last_failure_at_{};
  std::uint32_t failures_in_row_ = 0;
  std::uint32_t ejections_in_row_ = 0;
  base::instant ejected_until_ = base::instant::min();
};

}  // namespace catkintack::routing
