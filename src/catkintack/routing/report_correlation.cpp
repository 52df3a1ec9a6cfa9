#include "catkintack/routing/report_correlation.hpp"

#include <algorithm>
#include <cmath>

namespace catkintack::routing {

void report_correlation::add(double excess, double latency, double weight) {
  const double excess_delta = excess - mean_excess_;
  const double latency_delta = latency - mean_latency_;
  mean_excess_ += weight * excess_delta;
  mean_latency_ += weight * latency_delta;
  covariance_ += weight * (excess_delta * latency_delta - covariance_);
  excess_variance_ += weight * (excess_delta * excess_delta - excess_variance_);
  latency_variance_ += weight * (latency_delta * latency_delta - latency_variance_);
}

double report_correlation::confidence(double full_correlation) const {
  constexpr double default_confidence = 0.5;
  const double scale = std::sqrt(excess_variance_ * latency_variance_);
  if (scale <= 0) {
    return default_confidence;
  }
  return std::clamp(covariance_ / scale / full_correlation, 0.0, 1.0);
}

}  // namespace catkintack::routing
