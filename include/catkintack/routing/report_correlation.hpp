/// @file
/// How well load reports predict latency.
#pragma once

namespace catkintack::routing {

/// @brief Running correlation between reported load and subsequent latency.
class report_correlation {
 public:
  /// @brief Adds an answered attempt.
  /// @param excess Reported load of its upstream minus the service's mean, at selection time.
  /// @param latency Latency of the attempt divided by the service's mean.
  /// @param weight Weight of this attempt in the running averages.
  void add(double excess, double latency, double weight);

  /// @brief Returns the weight to give load reports, between 0 and 1; 0 if high reported load is
  /// followed by low latency.
  /// @param full_correlation The correlation at which the weight is 1.
  double confidence(double full_correlation) const;

 private:
  double mean_excess_ = 0;
  double mean_latency_ = 1;
  double covariance_ = 0;
  double excess_variance_ = 0;
  double latency_variance_ = 1;
};

}  // namespace catkintack::routing
