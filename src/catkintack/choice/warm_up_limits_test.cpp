#include "catkintack/choice/warm_up_limits.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace catkintack::choice {
namespace {

using base::request_rate;

constexpr send_limit cold(double rate) {
  return {.rate = request_rate(rate), .cause = limit_cause::warming_up};
}

TEST(warm_up_limits, warm_upstream_has_only_the_limit_that_it_named) {
  EXPECT_EQ(limit_in_force(std::nullopt, false, 3.4), std::nullopt);
  EXPECT_EQ(limit_in_force(request_rate(2), false, 3.4), send_limit{request_rate(2)});
}

// A service without a warm-up rate behaves as before, whatever its upstreams report.
TEST(warm_up_limits, cold_upstream_without_a_rate_has_no_limit) {
  EXPECT_EQ(limit_in_force(std::nullopt, true, 0), std::nullopt);
  EXPECT_EQ(limit_in_force(request_rate(2), true, 0), send_limit{request_rate(2)});
}

TEST(warm_up_limits, lower_of_both_limits_applies_to_a_cold_upstream) {
  EXPECT_EQ(limit_in_force(std::nullopt, true, 3.4), cold(3.4));
  EXPECT_EQ(limit_in_force(request_rate(2), true, 3.4), cold(2));
  EXPECT_EQ(limit_in_force(request_rate(40), true, 3.4), cold(3.4));
}

TEST(warm_up_limits, authority_uses_the_lower_of_its_own_and_the_requested_rate) {
  EXPECT_EQ(limit_of_request(std::nullopt, request_rate(3.4)), cold(3.4));
  EXPECT_EQ(limit_of_request(send_limit{request_rate(40)}, request_rate(3.4)), cold(3.4));
  EXPECT_EQ(limit_of_request(cold(2), request_rate(3.4)), cold(2));
  EXPECT_EQ(limit_of_request(cold(2), std::nullopt), cold(2));
}

// A malformed datagram must neither raise nor end a limit.
TEST(warm_up_limits, unusable_requested_rate_is_ignored) {
  for (const double rate : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(),
                            std::numeric_limits<double>::infinity()}) {
    EXPECT_EQ(limit_of_request(send_limit{request_rate(2)}, request_rate(rate)),
              send_limit{request_rate(2)});
    EXPECT_EQ(limit_of_request(std::nullopt, request_rate(rate)), std::nullopt);
  }
}

}  // namespace
}  // namespace catkintack::choice
