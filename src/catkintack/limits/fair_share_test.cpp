#include "catkintack/limits/fair_share.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace catkintack::limits {
namespace {

const base::service_id service("label-press");
const base::customer_id noisy("noisy");
const base::customer_id quiet("quiet");

void make_saturated(fair_share& shares) {
  for (int answer = 0; answer < 100; ++answer) {
    shares.record_saturation(service, true);
  }
}

void start(fair_share& shares, const base::customer_id& customer, int requests) {
  for (int request = 0; request < requests; ++request) {
    shares.started(service, customer);
  }
}

TEST(fair_share, admits_all_customers_while_the_service_is_not_saturated) {
  fair_share shares;
  start(shares, noisy, 50);
  start(shares, quiet, 1);
  EXPECT_TRUE(shares.may_start({}, service, noisy));
}

TEST(fair_share, refuses_only_the_noisy_customer_while_the_service_is_saturated) {
  fair_share shares;
  start(shares, noisy, 50);
  make_saturated(shares);
  EXPECT_TRUE(shares.may_start({}, service, quiet));
  EXPECT_FALSE(shares.may_start({}, service, noisy));
}

TEST(fair_share, never_refuses_a_sole_customer) {
  fair_share shares;
  make_saturated(shares);
  start(shares, noisy, 50);
  EXPECT_TRUE(shares.may_start({}, service, noisy));
}

TEST(fair_share, admits_again_after_saturation_ends) {
  fair_share shares;
  start(shares, noisy, 50);
  start(shares, quiet, 1);
  make_saturated(shares);
  EXPECT_FALSE(shares.may_start({}, service, noisy));
  for (int answer = 0; answer < 100; ++answer) {
    shares.record_saturation(service, false);
  }
  EXPECT_TRUE(shares.may_start({}, service, noisy));
}

RC_GTEST_PROP(fair_share_property, a_customer_below_its_share_is_always_admitted, ()) {
  constexpr int customers = 5;
  fair_share shares;
  make_saturated(shares);
  std::vector<int> in_flight(customers, 0);
  int total = 0;
  for (int step = 0; step < 200; ++step) {
    const auto who = *rc::gen::inRange<std::size_t>(0, customers);
    const base::customer_id customer(std::to_string(who));
    if (*rc::gen::arbitrary<bool>()) {
      const bool below = in_flight[who] * customers < total - customers;
      const bool admitted = shares.may_start({}, service, customer);
      RC_ASSERT(admitted || !below);
      if (admitted) {
        shares.started(service, customer);
        ++in_flight[who];
        ++total;
      }
    } else if (in_flight[who] > 0) {
      shares.ended(service, customer);
      --in_flight[who];
      --total;
    }
  }
}

}  // namespace
}  // namespace catkintack::limits
