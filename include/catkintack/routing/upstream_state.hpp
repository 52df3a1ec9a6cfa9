/// @file
/// What one host knows of one upstream, and how old it is.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "catkintack/routing/attempt_observation.hpp"
#include "catkintack/routing/router_options.hpp"
#include "catkintack/routing/upstream_record.hpp"

namespace catkintack::routing {

/// @brief What a score needs to know of the whole service.
struct service_figures {
  double mean_other_load = 0;    ///< Mean load by other hosts over the service's upstreams.
  double mean_latency = 0;       ///< Mean seconds of an answered attempt; 0 when unknown.
  double report_confidence = 1;  ///< How far reports deserve to be followed, between 0 and 1.
};

/// @brief Knowledge of one upstream. Every figure in it ages.
class upstream_state {
 public:
  /// @brief Takes up an upstream.
  /// @param now The time.
  /// @param record The upstream as listed.
  /// @param cold Whether it starts gradually.
  upstream_state(base::instant now, upstream_record record, bool cold);

  /// @brief The upstream as listed.
  /// @return The record.
  const upstream_record& record() const { return record_; }
  /// @brief Replaces the record.
  /// @param record The upstream as listed now.
  void update(upstream_record record);

  /// @brief Notes an attempt of this host.
  /// @param now When it is sent.
  /// @param excess Reported load above the service's mean at that time.
  void on_sent(base::instant now, double excess);
  /// @brief Learns from the end of an attempt.
  /// @param now The time.
  /// @param observation How it ended.
  /// @param options The router's options.
  /// @return The excess that was noted when it was sent.
  double on_ended(base::instant now,
                  const attempt_observation& observation,
                  const router_options& options);
  /// @brief Learns from a report that came without an attempt.
  /// @param now The time.
  /// @param report The report.
  void on_report(base::instant now, const load_report& report);

  /// @brief Notes a probe of this host.
  /// @param now When it is sent.
  void on_probed(base::instant now) { last_contact_ = now; }
  /// @brief When it was last heard from, probed or taken up.
  /// @return The time.
  base::instant last_contact() const { return last_contact_; }

  /// @brief Attempts of this host in flight.
  /// @return The count.
  std::uint32_t in_flight() const { return static_cast<std::uint32_t>(in_flight_.size()); }
  /// @brief Load by other hosts at the last report.
  /// @return Requests; 0 without any report.
  double other_load() const { return other_load_; }
  /// @brief When the last report came.
  /// @return The time; none without any report.
  std::optional<base::instant> reported_at() const { return reported_at_; }
  /// @brief Whether it takes no new work, by the list or by its own word.
  /// @param now The time.
  /// @param options The router's options.
  /// @return True while it is leaving.
  bool leaving(base::instant now, const router_options& options) const;
  /// @brief Whether failures keep it out of choices.
  /// @param now The time.
  /// @return True while it is ejected.
  bool ejected(base::instant now) const { return now < ejected_until_; }

  /// @brief Reported load of other hosts above the service's mean, faded by age.
  /// @param now The time.
  /// @param options The router's options.
  /// @param mean_other_load The service's mean.
  /// @return Requests; 0 without any report.
  double excess(base::instant now, const router_options& options, double mean_other_load) const;
  /// @brief How bad a choice it is.
  /// @param now The time.
  /// @param options The router's options.
  /// @param service The whole service's figures.
  /// @param noise A random number between -1 and 1; it takes the place of reports without value.
  /// @return Estimated load per slot, failures, overdue work and warm-up taken into account.
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
  std::vector<sent_attempt> in_flight_;  ///< Those in flight.
  double other_load_ = 0;
  base::instant last_contact_;
  std::optional<base::instant> reported_at_;
  std::optional<base::instant> reported_leaving_at_;
  std::optional<base::instant> warm_up_started_at_;  ///< Start of a gradual start.
  double failure_load_ = 0;                          ///< As of last_failure_at_.
  base::instant last_failure_at_{};
  std::uint32_t failures_in_row_ = 0;
  std::uint32_t ejections_in_row_ = 0;
  base::instant ejected_until_ = base::instant::min();
};

}  // namespace catkintack::routing
