/// @file
/// Counters, gauges and latency summaries, exported in the Prometheus text format.
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

/// @brief The metrics of a daemon. Thread-safe.
class metric_registry {
 public:
  metric_registry();
  metric_registry(const metric_registry&) = delete;
  metric_registry& operator=(const metric_registry&) = delete;
  metric_registry(metric_registry&&) = delete;
  metric_registry& operator=(metric_registry&&) = delete;
  ~metric_registry();

  /// @brief Returns a counter, and creates it if needed. Callers that increment it often should
  /// keep the reference.
  /// @param name Name with labels, for example `calls_total{outcome="answer"}`.
  /// @return The counter; valid for the lifetime of the registry.
  metric_counter& counter(std::string_view name);

  /// @brief Increments a counter.
  /// @param name Name with labels, for example `calls_total{outcome="answer"}`.
  void add(std::string_view name, std::uint64_t amount = 1);

  /// @brief Sets a gauge.
  /// @param name Name with labels.
  void set(std::string_view name, double value);

  /// @brief Adds a sample to a summary with quantiles 0.5, 0.99 and 0.999.
  /// @param name Name without labels.
  /// @param sample A duration; exported in seconds.
  void observe(std::string_view name, duration sample);

  /// @brief Returns all metrics in the Prometheus text format, with the prefix "catkintack_" for
  /// every name.
  std::string prometheus_text() const;

 private:
  struct summary;

  metric_counter* find_counter(std::string_view name) const;
  summary* find_summary(std::string_view name) const;
  summary& summary_of(std::string_view name);

  /// Protects the maps and gauges. Counters and summaries are thread-safe and are never moved or
  /// removed.
  mutable std::shared_mutex mutex_;
  std::map<std::string, std::unique_ptr<metric_counter>, std::less<>> counters_;
  std::map<std::string, double, std::less<>> gauges_;
  std::map<std::string, std::unique_ptr<summary>, std::less<>> summaries_;
};

}  // namespace catkintack::base
