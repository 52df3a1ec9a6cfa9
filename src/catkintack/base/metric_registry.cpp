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
  accumulator samples{acc::extended_p_square_probabilities = quantiles};
};

metric_registry::metric_registry() = default;
metric_registry::~metric_registry() = default;

void metric_registry::add(const std::string& name, std::uint64_t amount) {
  const std::lock_guard lock(mutex_);
  counters_[name] += amount;
}

void metric_registry::set(const std::string& name, double value) {
  const std::lock_guard lock(mutex_);
  gauges_[name] = value;
}

void metric_registry::observe(const std::string& name, duration sample) {
  const std::lock_guard lock(mutex_);
  std::unique_ptr<summary>& entry = summaries_[name];
  if (!entry) {
    entry = std::make_unique<summary>();
  }
  entry->samples(to_seconds(sample));
}

std::string metric_registry::prometheus_text() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream text;
  for (const auto& [name, value] : counters_) {
    text << prefix << name << " " << value << "\n";
  }
  for (const auto& [name, value] : gauges_) {
    text << prefix << name << " " << value << "\n";
  }
  for (const auto& [name, entry] : summaries_) {
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
