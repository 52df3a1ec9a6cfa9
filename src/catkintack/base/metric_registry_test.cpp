#include "catkintack/base/metric_registry.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace catkintack::base {
namespace {

using ::testing::HasSubstr;

TEST(metric_registry, writes_counters_gauges_and_summaries) {
  metric_registry metrics;
  metrics.add("calls_total{outcome=\"answer\"}");
  metrics.add("calls_total{outcome=\"answer\"}", 2);
  metrics.set("peers", 4);
  metrics.observe("call_seconds", std::chrono::milliseconds(500));
  const std::string text = metrics.prometheus_text();
  EXPECT_THAT(text, HasSubstr("catkintack_calls_total{outcome=\"answer\"} 3\n"));
  EXPECT_THAT(text, HasSubstr("catkintack_peers 4\n"));
  EXPECT_THAT(text, HasSubstr("catkintack_call_seconds_sum 0.5\n"));
  EXPECT_THAT(text, HasSubstr("catkintack_call_seconds_count 1\n"));
}

}  // namespace
}  // namespace catkintack::base
