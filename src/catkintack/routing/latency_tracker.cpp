#include "catkintack/routing/latency_tracker.hpp"

#include <algorithm>

namespace catkintack::routing {
namespace {

constexpr double mean_weight = 0.05;
constexpr double quantile_step = 0.5;   // In units of the mean.
constexpr double initial_quantile = 3;  // In units of the mean.
constexpr std::uint32_t min_samples = 20;

base::duration from_seconds(double seconds) {
  return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

void latency_tracker::add(base::duration latency, double quantile) {
  const double seconds = base::to_seconds(latency);
  if (samples_ == 0) {
    mean_ = seconds;
    quantile_ = initial_quantile * seconds;
  }
  samples_ = std::min(samples_ + 1, min_samples);
  mean_ += mean_weight * (seconds - mean_);
  const double step = quantile_step * mean_;
  quantile_ += seconds > quantile_ ? step * quantile : -step * (1 - quantile);
  quantile_ = std::max(quantile_, mean_);
}

base::duration latency_tracker::mean() const { return from_seconds(mean_); }

std::optional<base::duration> latency_tracker::quantile() const {
  if (samples_ < min_samples) {
    return std::nullopt;
  }
  return from_seconds(quantile_);
}

}  // namespace catkintack::routing
