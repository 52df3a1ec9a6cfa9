#include "catkintack/base/address.hpp"

#include <gtest/gtest.h>

namespace catkintack::base {
namespace {

TEST(address, reads_what_it_writes) {
  EXPECT_EQ(parse_address("127.0.0.1:8080"), (address{"127.0.0.1", 8080}));
  EXPECT_EQ(to_string(address{"10.0.0.1", 1}), "10.0.0.1:1");
}

TEST(address, refuses_malformed_text) {
  for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
                           "127.0.0.1:80x", "host:80", "::1:80"}) {
    EXPECT_FALSE(parse_address(text)) << text;
  }
}

}  // namespace
}  // namespace catkintack::base
