#include "catkintack/limits/resend_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <numeric>
#include <vector>

namespace catkintack::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::service_id press("press");
constexpr base::instant start{seconds(100)};

TEST(resend_budget, new_host_has_no_tokens) {
  resend_budget budget({.ratio = 0.2, .slack = 50});
  EXPECT_FALSE(budget.try_spend(press, start));
}

TEST(resend_budget, requests_add_tokens) {
  resend_budget budget({.ratio = 0.2, .slack = 50});
  for (int i = 0; i < 7; ++i) {
    budget.on_request(press, start);
  }
  EXPECT_TRUE(budget.try_spend(press, start));
  EXPECT_FALSE(budget.try_spend(press, start));
}

struct send {
  base::instant when;
  bool resend = false;
};

// In any window, the number of resends must not exceed the ratio times the requests plus the slack.
// The requests are those of the window itself, of the previous window, or of the window that starts
// half a window earlier, whichever is most.
void check_all_windows(const std::vector<send>& sends, const resend_budget_options& options) {
  const auto count = [&](base::instant from, bool resends) {
    int found = 0;
    for (const send& one : sends) {
      found +=
          one.resend == resends && one.when >= from && one.when < from + options.window ? 1 : 0;
    }
    return found;
  };
  for (const send& first : sends) {
    const int requests =
        std::max({count(first.when, false), count(first.when - options.window, false),
                  count(first.when - options.window / 2, false)});
    RC_ASSERT(count(first.when, true) <= options.ratio * requests + options.slack);
  }
}

RC_GTEST_PROP(resend_budget, all_hosts_stay_within_the_limit_despite_restarts, ()) {
  const resend_budget_options options{.ratio = 0.2, .slack = 58, .window = seconds(10)};
  const auto hosts = *rc::gen::inRange<std::size_t>(1, 18);
  std::vector<std::unique_ptr<resend_budget>> budgets;
  for (std::size_t i = 0; i < hosts; ++i) {
    budgets.push_back(std::make_unique<resend_budget>(options));
  }
  std::vector<send> sends;
  base::instant now = start;
  const auto steps = *rc::gen::inRange(100, 600);
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  std::uint64_t state = seed | 1U;
  const auto draw = [&](std::uint64_t below) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (state >> 33U) % below;
  };
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(draw(120));
    auto& host = budgets[draw(hosts)];
    if (draw(40) == 0) {
      host = std::make_unique<resend_budget>(options);
      continue;
    }
    host->on_request(press, now);
    sends.push_back({now, false});
    if (host->try_spend(press, now)) {
      sends.push_back({now, true});
    }
  }
  check_all_windows(sends, options);
}

// A fleet in which every host resends as often as its budget allows, with no new requests.
TEST(resend_storm_of_a_large_fleet, stays_within_the_slack_in_every_window) {
  const resend_budget_options options{.ratio = 0.2, .slack = 630, .window = seconds(10)};
  constexpr int hosts = 472;
  constexpr int windows = 6;
  std::vector<resend_budget> budgets(hosts, resend_budget(options));
  std::vector<int> resends_at;  // By second.
  for (int second = 0; second < 10 * windows; ++second) {
    resends_at.push_back(0);
    for (resend_budget& budget : budgets) {
      while (budget.try_spend(press, start + seconds(second))) {
        ++resends_at.back();
      }
    }
  }
  for (std::size_t first = 0; first + 10 <= resends_at.size(); ++first) {
    const auto begin = resends_at.begin() + static_cast<std::ptrdiff_t>(first);
    EXPECT_LE(std::accumulate(begin, begin + 10, 0), options.slack) << "from second " << first;
  }
}

}  // namespace
}  // namespace catkintack::limits
