/// @file
/// How well reports foretell latency.
#pragma once

namespace catkintack::routing {

/// @brief Running correlation of reported load with the latency that followed.
class report_correlation {
 public:
  /// @brief Takes in an answered attempt.
  /// @param excess Reported load of its upstream above the service's mean, when it was chosen.
  /// @param latency Its latency in means of the service.
  /// @param weight Weight of this attempt in the running figures.
  void add(double excess, double latency, double weight);

  /// @brief How far reports deserve to be followed.
  /// @param full_correlation The correlation at which they are followed fully.
  /// @return Between 0 and 1; 0 when high reports go before low latencies.
  double confidence(double full_correlation) const;

 private:
  double mean_excess_ = 0;
  double mean_latency_ = 1;
  double covariance_ = 0;
  double excess_variance_ = 0;
  double latency_variance_ = 1;
};

}  // namespace catkintack::routing
