/// @file
/// Counters, gauges and latency summaries in the Prometheus text form.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "catkintack/base/units.hpp"

namespace catkintack::base {

/// @brief The metrics of a daemon. Safe for use by several threads.
class metric_registry {
 public:
  metric_registry();
  metric_registry(const metric_registry&) = delete;
  metric_registry& operator=(const metric_registry&) = delete;
  metric_registry(metric_registry&&) = delete;
  metric_registry& operator=(metric_registry&&) = delete;
  ~metric_registry();

  /// @brief Raises a counter.
  /// @param name Name with labels, for example `calls_total{outcome="answer"}`.
  /// @param amount How much to add.
  void add(const std::string& name, std::uint64_t amount = 1);

  /// @brief Sets a gauge.
  /// @param name Name with labels.
  /// @param value The value.
  void set(const std::string& name, double value);

  /// @brief Adds a sample to a summary with quantiles 0.5, 0.99 and 0.999.
  /// @param name Name without labels.
  /// @param sample The span; shown in seconds.
  void observe(const std::string& name, duration sample);

  /// @brief Writes all metrics.
  /// @return The Prometheus text form, every name prefixed by "catkintack_".
  std::string prometheus_text() const;

 private:
  struct summary;

  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, std::unique_ptr<summary>> summaries_;
};

}  // namespace catkintack::base
