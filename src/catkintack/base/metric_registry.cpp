#include "catkintack/base/metric_registry.hpp"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace catkintack::base {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles = {0.5, 0.99, 0.999};
constexpr const char* prefix = "catkintack_";

using accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

}  // namespace

struct metric_registry::summary {
  std::mutex mutex;
  accumulator samples{acc::extended_p_square_probabilities = quantiles};
};

metric_registry::metric_registry() = default;
metric_registry::~metric_registry() = default;

metric_counter* metric_registry::find_counter(std::string_view name) const {
  const std::shared_lock lock(mutex_);
  const auto found = counters_.find(name);
  return found == counters_.end() ? nullptr : found->second.get();
}

metric_counter& metric_registry::counter(std::string_view name) {
  if (metric_counter* const found = find_counter(name)) {
    return *found;
  }
  const std::unique_lock lock(mutex_);
  std::unique_ptr<metric_counter>& entry = counters_[std::string(name)];
  if (!entry) {
    entry = std::make_unique<metric_counter>();
  }
  return *entry;
}

void metric_registry::add(std::string_view name, std::uint64_t amount) {
  counter(name).add(amount);
}

void metric_registry::set(std::string_view name, double value) {
  const std::unique_lock lock(mutex_);
  gauges_[std::string(name)] = value;
}

metric_registry::summary* metric_registry::find_summary(std::string_view name) const {
  const std::shared_lock lock(mutex_);
  const auto found = summaries_.find(name);
  return found == summaries_.end() ? nullptr : found->second.get();
}

metric_registry::summary& metric_registry::summary_of(std::string_view name) {
  if (summary* const found = find_summary(name)) {
    return *found;
  }
  const std::unique_lock lock(mutex_);
  std::unique_ptr<summary>& entry = summaries_[std::string(name)];
  if (!entry) {
    entry = std::make_unique<summary>();
  }
  return *entry;
}

void metric_registry::observe(std::string_view name, duration sample) {
  summary& entry = summary_of(name);
  const std::lock_guard lock(entry.mutex);
  entry.samples(to_seconds(sample));
}

std::string metric_registry::prometheus_text() const {
  const std::shared_lock lock(mutex_);
  std::ostringstream text;
  for (const auto& [name, entry] : counters_) {
    text << prefix << name << " " << entry->value() << "\n";
  }
  for (const auto& [name, value] : gauges_) {
    text << prefix << name << " " << value << "\n";
  }
  for (const auto& [name, entry] : summaries_) {
    const std::lock_guard entry_lock(entry->mutex);
    const auto values = acc::extended_p_square(entry->samples);
    for (std::size_t index = 0; index < quantiles.size(); ++index) {
      text << prefix << name << "{quantile=\"" << quantiles[index] << "\"} " << values[index]
           << "\n";
    }
    text << prefix << name << "_sum " << acc::sum(entry->samples) << "\n";
    text << prefix << name << "_count " << acc::count(entry->samples) << "\n";
  }
  return text.str();
}

}  // namespace catkintack::base
