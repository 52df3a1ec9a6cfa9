#include "catkintack/cli/timeline_svg.hpp"

#include <gtest/gtest.h>

#include <filesystem>

#include "golden_file.hpp"

namespace catkintack::tests {
namespace {

base::event_record event(std::uint64_t time,
                         const std::string& host,
                         const std::string& kind,
                         std::vector<base::event_field> fields) {
  base::event_record record;
  record.time = time;
  record.host = base::host_id(host);
  record.run = base::incarnation(1);
  record.request = base::request_id("gw-1.1.7");
  record.part = "routing";
  record.kind = kind;
  record.fields = std::move(fields);
  return record;
}

TEST(timeline_svg, draws_one_request_over_hosts_and_upstreams) {
  const std::vector<base::event_record> events = {
      event(1000, "gw-2", "forwarded", {{"home", "gw-1"}}),
      event(1400, "gw-1", "attempt_sent", {{"attempt", "1"}, {"upstream", "press-1"}}),
      event(2100, "gw-1", "attempt_failed", {{"attempt", "1"}, {"result", "refused"}}),
      event(2150, "gw-1", "attempt_sent", {{"attempt", "2"}, {"upstream", "press-2"}}),
      event(4500, "gw-1", "call_finished", {{"outcome", "answer"}, {"status", "200"}}),
      event(4600, "gw-1", "breach_sent_twice", {{"text", "<\"&\">"}})};
  check_golden_file("request_path.svg", cli::timeline_svg(events));
}

TEST(timeline_svg, draws_nothing_for_no_events) {
  EXPECT_NE(cli::timeline_svg({}).find("</svg>"), std::string::npos);
}

}  // namespace
}  // namespace catkintack::tests
