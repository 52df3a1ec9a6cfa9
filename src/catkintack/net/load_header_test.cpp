#include "catkintack/net/load_header.hpp"

#include <gtest/gtest.h>

namespace catkintack::net {
namespace {

TEST(load_header, reads_what_it_writes) {
  const routing::load_report report{3, 1, true};
  EXPECT_EQ(parse_load_report(to_text(report)), report);
}

TEST(load_header, refuses_malformed_text) {
  for (const char* text :
       {"", "running=1", "running=1 queued=0 leaving=2", "running=x queued=0 leaving=0",
        "running=1 queued=0 leaving=0 more=1", "running=-1 queued=0 leaving=0"}) {
    EXPECT_FALSE(parse_load_report(text)) << text;
  }
}

}  // namespace
}  // namespace catkintack::net
