#include "catkintack/base/metric_registry.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace catkintack::base {
namespace {

using ::testing::HasSubstr;

TEST(metric_registry, exports_counters_gauges_and_summaries) {
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

TEST(metric_registry, counts_updates_from_all_threads) {
  metric_registry metrics;
  constexpr int thread_count = 4;
  constexpr int increments = 1000;
  std::vector<std::thread> threads;
  threads.reserve(thread_count);
  for (int index = 0; index < thread_count; ++index) {
    threads.emplace_back([&metrics] {
      for (int increment = 0; increment < increments; ++increment) {
        metrics.counter("calls_total").add();
        metrics.observe("call_seconds", std::chrono::milliseconds(1));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_THAT(metrics.prometheus_text(), HasSubstr("catkintack_calls_total 4000\n"));
  EXPECT_THAT(metrics.prometheus_text(), HasSubstr("catkintack_call_seconds_count 4000\n"));
}

}  // namespace
}  // namespace catkintack::base
