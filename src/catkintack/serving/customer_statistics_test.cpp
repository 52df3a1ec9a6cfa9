#include "catkintack/serving/customer_statistics.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace catkintack::serving {
namespace {

bool has_line(const customer_statistics& statistics, const std::string& line) {
  return ("\n" + statistics.prometheus_text()).find("\n" + line + "\n") != std::string::npos;
}

// Guards against metrics that grow with the number of customers (10,000 by design).
TEST(customer_statistics, names_the_largest_customers_and_adds_up_the_others) {
  customer_statistics statistics;
  for (int i = 1; i <= 10000; ++i) {
    const base::customer_id id("c" + std::to_string(i));
    for (int call = 0; call < (i > 9980 ? 3 : 1); ++call) {
      statistics.on_call(id);
    }
    statistics.on_refusal(id, 429);
  }
  statistics.on_refusal(base::customer_id("c10000"), 503);
  EXPECT_TRUE(has_line(statistics, "catkintack_customer_calls_total{customer=\"c9981\"} 3"));
  EXPECT_TRUE(has_line(statistics, "catkintack_customer_calls_total{others=\"1\"} 9980"));
  EXPECT_TRUE(has_line(statistics,
                       "catkintack_customer_refusals_total{customer=\"c10000\",status=\"503\"} 1"));
  EXPECT_TRUE(
      has_line(statistics, "catkintack_customer_refusals_total{others=\"1\",status=\"429\"} 9980"));
  // 20 customers and the others, each with calls and refusals, and one more status.
  EXPECT_EQ(std::ranges::count(statistics.prometheus_text(), '\n'), 2 * 21 + 1);
}

// Guards against memory that grows with each customer that was ever configured.
TEST(customer_statistics, customers_beyond_the_bound_are_counted_with_the_others) {
  customer_statistics statistics(1, 2);
  for (const char* id : {"a", "a", "b", "c", "d"}) {
    statistics.on_call(base::customer_id(id));
  }
  statistics.on_call(base::customer_id());
  EXPECT_EQ(statistics.prometheus_text(),
            "catkintack_customer_calls_total{customer=\"a\"} 2\n"
            "catkintack_customer_calls_total{others=\"1\"} 3\n");
}

TEST(customer_statistics, names_are_escaped) {
  customer_statistics statistics;
  statistics.on_call(base::customer_id("a\"\\\nb"));
  EXPECT_TRUE(
      has_line(statistics, "catkintack_customer_calls_total{customer=\"a\\\"\\\\\\nb\"} 1"));
}

}  // namespace
}  // namespace catkintack::serving
