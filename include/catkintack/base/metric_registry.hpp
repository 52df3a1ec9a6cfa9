/// @file
/// Counters, gauges and latency summaries in the Prometheus text form.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <string_view>

#include "catkintack/base/metric_counter.hpp"
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

  /// @brief Finds a counter, to be kept by whoever raises it often.
  /// @param name Name with labels, for example `calls_total{outcome="answer"}`.
  /// @return The counter; valid as long as the registry.
  metric_counter& counter(std::string_view name);

  /// @brief Raises a counter.
  /// @param name Name with labels, for example `calls_total{outcome="answer"}`.
  /// @param amount How much to add.
  void add(std::string_view name, std::uint64_t amount = 1);

  /// @brief Sets a gauge.
  /// @param name Name with labels.
  /// @param value The value.
  void set(std::string_view name, double value);

  /// @brief Adds a sample to a summary with quantiles 0.5, 0.99 and 0.999.
  /// @param name Name without labels.
  /// @param sample The span; shown in seconds.
  void observe(std::string_view name, duration sample);

  /// @brief Writes all metrics.
  /// @return The Prometheus text form, every name prefixed by "catkintack_".
  std::string prometheus_text() const;

 private:
  struct summary;

  metric_counter* find_counter(std::string_view name) const;
  summary* find_summary(std::string_view name) const;
  summary& summary_of(std::string_view name);

  /// Guards the maps; the entries are safe by themselves and never move or go.
  mutable std::shared_mutex mutex_;
  std::map<std::string, std::unique_ptr<metric_counter>, std::less<>> counters_;
  std::map<std::string, double, std::less<>> gauges_;
  std::map<std::string, std::unique_ptr<summary>, std::less<>> summaries_;
};

}  // namespace catkintack::base
