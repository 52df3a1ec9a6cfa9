#include "catkintack/base/address.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkintack::base {
namespace {

TEST(address, parses_and_formats) {
  EXPECT_EQ(parse_address("127.0.0.1:8080"), (address{"127.0.0.1", 8080}));
  EXPECT_EQ(to_string(address{"10.0.0.1", 1}), "10.0.0.1:1");
}

TEST(address, rejects_malformed_text) {
  for (const char* text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
                           "127.0.0.1:80x", "host:80", "::1:80"}) {
    EXPECT_FALSE(parse_address(text)) << text;
  }
}

TEST(address, rejects_bytes_after_a_null) {
  EXPECT_FALSE(parse_address(std::string("127.0.0.1\0x:80", 14)));
}

RC_GTEST_PROP(address, round_trips_parsed_addresses, (const std::string& bytes)) {
  const auto read = parse_address(bytes);
  if (read) {
    RC_ASSERT(parse_address(to_string(*read)) == read);
  }
}

}  // namespace
}  // namespace catkintack::base
