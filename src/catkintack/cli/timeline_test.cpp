#include "catkintack/cli/timeline.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <sstream>

#include "catkintack/base/event_log.hpp"

namespace catkintack::cli {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t host_count = 4;

base::event_record make_record(const std::string& host, std::uint64_t time) {
  base::event_record record;
  record.time = time;
  record.host = base::host_id(host);
  record.run = base::incarnation(1);
  record.sequence = time;
  record.part = "routing";
  record.kind = "attempt_sent";
  record.request = base::request_id("r" + std::to_string(time));
  return record;
}

membership::gateway_record make_host(const std::string& name) {
  membership::gateway_record host;
  host.host = base::host_id(name);
  return host;
}

/// Hooks for two hosts: gw-1 has one event, gw-2 has a new event in each round.
timeline_hooks make_two_host_hooks(int rounds) {
  timeline_hooks hooks;
  hooks.hosts = []() -> leaf::result<std::vector<membership::gateway_record>> {
    return std::vector{make_host("gw-1"), make_host("gw-2")};
  };
  hooks.events = [](const membership::gateway_record& host, base::incarnation,
                    std::uint64_t since) -> std::vector<base::event_record> {
    if (host.host.value() == "gw-1") {
      return since == 0 ? std::vector{make_record("gw-1", 20)} : std::vector<base::event_record>{};
    }
    return {make_record("gw-2", since == 0 ? 10 : since + 20)};
  };
  auto left = std::make_shared<int>(rounds);
  hooks.wait = [left] { return --*left > 0; };
  return hooks;
}

std::string text_of(const timeline_options& options, int rounds) {
  std::ostringstream out;
  EXPECT_TRUE(write_timeline(options, make_two_host_hooks(rounds), out));
  return out.str();
}

TEST(timeline, merges_all_hosts) {
  EXPECT_EQ(text_of({}, 1),
            "10 gw-2/1#10 routing attempt_sent [r10]\n"
            "20 gw-1/1#20 routing attempt_sent [r20]\n");
}

TEST(timeline, filters_by_request_host_part_and_breach) {
  timeline_options by_request;
  by_request.request = "r20";
  EXPECT_EQ(text_of(by_request, 1), "20 gw-1/1#20 routing attempt_sent [r20]\n");
  timeline_options by_host;
  by_host.host = "gw-2";
  EXPECT_EQ(text_of(by_host, 1), "10 gw-2/1#10 routing attempt_sent [r10]\n");
  timeline_options by_part;
  by_part.part = "limits";
  EXPECT_EQ(text_of(by_part, 1), "");
  timeline_options by_breach;
  by_breach.breaches_only = true;
  EXPECT_EQ(text_of(by_breach, 1), "");
  base::event_record breach = make_record("gw-1", 1);
  breach.kind = "breach_calls_cut";
  EXPECT_TRUE(matches(by_breach, breach));
}

TEST(timeline, follow_prints_each_event_once) {
  timeline_options follow;
  follow.follow = true;
  EXPECT_EQ(text_of(follow, 3),
            "10 gw-2/1#10 routing attempt_sent [r10]\n"
            "20 gw-1/1#20 routing attempt_sent [r20]\n"
            "30 gw-2/1#30 routing attempt_sent [r30]\n"
            "50 gw-2/1#50 routing attempt_sent [r50]\n");
}

TEST(timeline, error_names_the_file_that_cannot_be_written) {
  timeline_options options;
  options.svg_path = "/nonexistent/picture.svg";
  std::ostringstream out;
  const std::string message = leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(write_timeline(options, make_two_host_hooks(1), out));
        return std::string();
      },
      [](const timeline_error& error) { return error.message; },
      [] { return std::string("other error"); });
  EXPECT_EQ(message, "cannot write \"/nonexistent/picture.svg\"");
}

/// Message between two hosts, with the wall clock times of sending and receiving.
struct message_step {
  std::size_t from = 0;
  std::size_t to = 0;
  std::int64_t wall_from = 0;
  std::int64_t wall_to = 0;
};

/// Hosts with arbitrary wall clocks that exchange messages.
class simulated_hosts {
 public:
  simulated_hosts() {
    for (std::size_t index = 0; index < host_count; ++index) {
      logs_.push_back(std::make_unique<base::event_log>(
          base::event_log_options{base::host_id("gw-" + std::to_string(index)),
                                  base::incarnation(1)},
          [this, index] { return base::wall_time(base::duration(walls_[index])); }));
    }
  }

  void exchange(const message_step& step, const std::string& number) {
    walls_[step.from] = step.wall_from;
    logs_[step.from]->record("net", "send", base::request_id(number));
    const std::uint64_t stamp = logs_[step.from]->stamp();
    walls_[step.to] = step.wall_to;
    logs_[step.to]->observe(stamp);
    logs_[step.to]->record("net", "receive", base::request_id(number));
  }

  std::vector<base::event_record> merged() const {
    std::vector<base::event_record> all;
    for (const auto& log : logs_) {
      for (base::event_record& record : log->since(0)) {
        all.push_back(std::move(record));
      }
    }
    return merge_events(std::move(all));
  }

 private:
  std::array<std::int64_t, host_count> walls_{};
  std::vector<std::unique_ptr<base::event_log>> logs_;
};

RC_GTEST_PROP(timeline, send_sorts_before_receive_with_arbitrary_wall_clocks, ()) {
  const auto any_host = rc::gen::inRange<std::size_t>(0, host_count);
  const auto any_time = rc::gen::inRange<std::int64_t>(0, 1'000'000);
  const auto steps = *rc::gen::container<std::vector<message_step>>(rc::gen::build<message_step>(
      rc::gen::set(&message_step::from, any_host), rc::gen::set(&message_step::to, any_host),
      rc::gen::set(&message_step::wall_from, any_time),
      rc::gen::set(&message_step::wall_to, any_time)));
  simulated_hosts hosts;
  for (std::size_t number = 0; number < steps.size(); ++number) {
    hosts.exchange(steps[number], std::to_string(number));
  }
  std::map<std::string, std::string> last_kind;
  for (const base::event_record& record : hosts.merged()) {
    const std::string expected = last_kind[record.request.value()].empty() ? "send" : "receive";
    RC_ASSERT(record.kind == expected);
    last_kind[record.request.value()] = record.kind;
  }
}

}  // namespace
}  // namespace catkintack::cli
