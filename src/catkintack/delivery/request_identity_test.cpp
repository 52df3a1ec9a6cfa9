#include "catkintack/delivery/request_identity.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkintack::delivery {
namespace {

TEST(request_identity, parses_an_id_made_from_a_token) {
  const host_incarnation owner{base::host_id("gw.catania-1"), base::incarnation(17)};
  const auto parsed = parse_request_id(base::request_id(make_token(owner, 3) + ".Order_9-a"));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->owner, owner);
  EXPECT_EQ(parsed->epoch, 3U);
  EXPECT_EQ(parsed->unique, "Order_9-a");
}

TEST(request_identity, rejects_malformed_ids) {
  for (const char* const id :
       {"", "a", "1.0.a", "gw-1.1.0", "gw-1.1.0.", "gw-1.x.0.a", "gw-1.1.-1.a", ".1.0.a",
        "gw-1.01.0.a", "gw-1.1.0.a b", "gw-1.99999999999999999999.0.a", "gw-1.1..a"}) {
    EXPECT_FALSE(parse_request_id(base::request_id(id))) << id;
  }
  EXPECT_FALSE(parse_request_id(base::request_id("gw-1.1.0." + std::string(128, 'a'))));
}

RC_GTEST_PROP(request_identity, parsed_id_formats_to_the_same_text, (const std::string& text)) {
  const auto parsed = parse_request_id(base::request_id("gw-1.1.0." + text));
  if (parsed) {
    RC_ASSERT(make_token(parsed->owner, parsed->epoch) + "." + parsed->unique ==
              "gw-1.1.0." + text);
  }
}

}  // namespace
}  // namespace catkintack::delivery
