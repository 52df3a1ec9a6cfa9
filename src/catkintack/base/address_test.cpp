#include "catkintack/base/address.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

TEST(address, refuses_bytes_after_a_null) {
  EXPECT_FALSE(parse_address(std::string("127.0.0.1\0x:80", 14)));
}

RC_GTEST_PROP(address, what_is_read_is_written_the_same, (const std::string& bytes)) {
  const auto read = parse_address(bytes);
  if (read) {
    RC_ASSERT(parse_address(to_string(*read)) == read);
  }
}

}  // namespace
}  // namespace catkintack::base
