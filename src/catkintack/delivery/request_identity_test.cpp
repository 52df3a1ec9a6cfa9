#include "catkintack/delivery/request_identity.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkintack::delivery {
namespace {

TEST(request_identity, reads_what_a_token_gave) {
  const host_incarnation owner{base::host_id("gw.catania-1"), base::incarnation(17)};
  const auto read = parse_identity(base::request_id(make_token(owner, 3) + ".Order_9-a"));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->owner, owner);
  EXPECT_EQ(read->epoch, 3U);
  EXPECT_EQ(read->unique, "Order_9-a");
}

TEST(request_identity, refuses_ids_of_another_form) {
  for (const char* const id :
       {"", "a", "1.0.a", "gw-1.1.0", "gw-1.1.0.", "gw-1.x.0.a", "gw-1.1.-1.a", ".1.0.a",
        "gw-1.01.0.a", "gw-1.1.0.a b", "gw-1.99999999999999999999.0.a", "gw-1.1..a"}) {
    EXPECT_FALSE(parse_identity(base::request_id(id))) << id;
  }
  EXPECT_FALSE(parse_identity(base::request_id("gw-1.1.0." + std::string(128, 'a'))));
}

RC_GTEST_PROP(request_identity, never_reads_one_id_as_another, (const std::string& text)) {
  const auto read = parse_identity(base::request_id("gw-1.1.0." + text));
  if (read) {
    RC_ASSERT(make_token(read->owner, read->epoch) + "." + read->unique == "gw-1.1.0." + text);
  }
}

}  // namespace
}  // namespace catkintack::delivery
