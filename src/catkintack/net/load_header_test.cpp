#include "catkintack/net/load_header.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkintack::net {
namespace {

TEST(load_header, parses_formatted_report) {
  const routing::load_report report{3, 1, true};
  EXPECT_EQ(parse_load_report(to_text(report)), report);
}

TEST(load_header, rejects_malformed_text) {
  for (const char* text :
       {"", "running=1", "running=1 queued=0 leaving=2", "running=x queued=0 leaving=0",
        "running=1 queued=0 leaving=0 more=1", "running=-1 queued=0 leaving=0"}) {
    EXPECT_FALSE(parse_load_report(text)) << text;
  }
}

RC_GTEST_PROP(load_header, random_text_parses_or_is_rejected, (const std::string& bytes)) {
  const auto read = parse_load_report(bytes);
  if (read) {
    RC_ASSERT(parse_load_report(to_text(*read)) == read);
  }
}

RC_GTEST_PROP(load_header,
              parses_any_formatted_report,
              (std::uint32_t running, std::uint32_t queued, bool leaving)) {
  const routing::load_report report{running, queued, leaving};
  RC_ASSERT(parse_load_report(to_text(report)) == report);
}

}  // namespace
}  // namespace catkintack::net
