#include "catkintack/serving/upstream_notice.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "catkintack/serving/io.hpp"

namespace catkintack::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(upstream_notice, retry_after_takes_seconds_with_a_fraction) {
  EXPECT_EQ(parse_retry_after("3"), seconds(3));
  EXPECT_EQ(parse_retry_after("0.25"), milliseconds(250));
  EXPECT_EQ(parse_retry_after("0"), seconds(0));
}

TEST(upstream_notice, unusable_retry_after_is_ignored) {
  for (const char* text : {"", "-1", "soon", "1s", "1e3", "nan", "inf", "1 2", " 1",
                           "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    EXPECT_FALSE(parse_retry_after(text)) << text;
  }
}

TEST(upstream_notice, retry_after_is_bounded) {
  EXPECT_EQ(parse_retry_after("1000000000"), std::chrono::hours(24));
  EXPECT_EQ(parse_retry_after(std::string(400, '9')), std::chrono::hours(24));
}

RC_GTEST_PROP(upstream_notice, retry_after_of_any_bytes_is_bounded, (const std::string& text)) {
  const base::duration parsed = parse_retry_after(text).value_or(base::duration::zero());
  RC_ASSERT(parsed >= base::duration::zero());
  RC_ASSERT(parsed <= std::chrono::hours(24));
}

TEST(upstream_notice, only_a_refusal_with_503_asks_for_a_pause) {
  http::fields headers;
  headers.set(http::field::retry_after, "2");
  EXPECT_EQ(read_notice(503, headers, {}).pause, seconds(2));
  EXPECT_FALSE(read_notice(200, headers, {}).pause);
  EXPECT_FALSE(read_notice(429, headers, {}).pause);
}

TEST(upstream_notice, limit_is_a_decimal_number_from_any_status) {
  http::fields headers;
  headers.set("Catkintack-Limit", "2.3");
  EXPECT_EQ(read_notice(200, headers, {}).limit, base::request_rate(2.3));
  EXPECT_EQ(read_notice(503, headers, {}).limit, base::request_rate(2.3));
  EXPECT_EQ(parse_limit("0"), base::request_rate(0));
  EXPECT_EQ(parse_limit("40"), base::request_rate(40));
}

TEST(upstream_notice, malformed_limit_neither_sets_nor_ends_one) {
  for (const char* text : {"", "-1", "few", "2/s", "1e3", "nan", "inf", "2,3"}) {
    http::fields headers;
    headers.set("Catkintack-Proof", "p");
    headers.set("Catkintack-Limit", text);
    const upstream_notice notice = read_notice(200, headers, {});
    EXPECT_FALSE(notice.limit) << text;
    EXPECT_FALSE(notice.names_no_limit) << text;
    EXPECT_EQ(notice.unusable_limit, text);
  }
}

// A response that another program may have sent is no statement of the upstream.
TEST(upstream_notice, only_a_proven_success_without_a_limit_ends_one) {
  http::fields headers;
  EXPECT_FALSE(read_notice(200, headers, {}).names_no_limit);
  headers.set("Catkintack-Proof", "p");
  EXPECT_FALSE(read_notice(503, headers, {}).names_no_limit);
  EXPECT_TRUE(read_notice(200, headers, {}).names_no_limit);
}

TEST(upstream_notice, leaving_is_read_from_any_status) {
  http::fields headers;
  EXPECT_FALSE(read_notice(200, headers, {}).leaving);
  headers.set("Catkintack-Leaving", "1");
  EXPECT_TRUE(read_notice(200, headers, {}).leaving);
  EXPECT_TRUE(read_notice(500, headers, {}).leaving);
  headers.set("catkintack-leaving", "0");
  EXPECT_FALSE(read_notice(200, headers, {}).leaving);
}

}  // namespace
}  // namespace catkintack::serving
