// Load pattern: a fleet that could use many times the limit of an upstream. No network: messages
// take a random time, and some are lost or arrive twice.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include "catkintack/choice/send_permits.hpp"
#include "catkintack/limits/send_reservations.hpp"

namespace catkintack::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::upstream_id press("press-1");
constexpr std::size_t authority_count = 3;

/// @brief Hosts that each have a call for the same upstream every few milliseconds.
class saturated_fleet {
 public:
  saturated_fleet(std::size_t host_count, double limit, std::uint64_t seed)
      : limit_(limit), random_(base::seeded_random_hook(seed)), authorities_(authority_count) {
    for (std::size_t i = 0; i < host_count; ++i) {
      hosts_.emplace_back(choice::permit_options{.authority_count = authority_count}, random_);
    }
  }

  void run(base::duration span) {
    const base::instant end = now_ + span;
    for (; now_ < end; now_ += milliseconds(5)) {
      while (!pending_.empty() && pending_.begin()->first <= now_) {
        const auto event = pending_.begin()->second;
        pending_.erase(pending_.begin());
        event();
      }
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i].take(press, now_)) {
          sent_.push_back(now_);
        } else {
          ask(i);
        }
      }
    }
  }
  void restart_authority(std::size_t index) { authorities_[index] = limits::send_reservations(); }
  void stop_authority(std::size_t index) { stopped_ = index; }

  std::size_t sends() const { return sent_.size(); }
  /// @brief The most sends within any window of 4 s.
  std::size_t most_in_a_window() const {
    std::size_t most = 0;
    for (auto first = sent_.begin(); first != sent_.end(); ++first) {
      const auto last = std::ranges::lower_bound(first, sent_.end(), *first + seconds(4));
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }

 private:
  void deliver(const std::function<void()>& event) {
    constexpr std::uint64_t lost_one_in = 40;
    constexpr std::uint64_t repeated_one_in = 40;
    if (random_() % lost_one_in == 0) {
      return;
    }
    const int copies = random_() % repeated_one_in == 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      pending_.emplace(now_ + milliseconds(1 + random_() % 30), event);
    }
  }

  void ask(std::size_t host) {
    const auto authority = hosts_[host].ask(press, base::request_rate(limit_), now_);
    if (!authority || authority == stopped_) {
      return;
    }
    deliver([this, host, at = *authority, asked_at = now_] {
      const double share = limit_ / authority_count;
      const limits::send_reservation answer =
          authorities_[at].reserve(press, base::request_rate(share), now_);
      deliver([this, host, at, asked_at, answer] {
        if (answer.granted) {
          hosts_[host].on_granted(press, at, asked_at, answer.wait);
        } else {
          hosts_[host].on_refused(press, at, asked_at, answer.wait);
        }
      });
    });
  }

  double limit_;
  base::random_hook random_;
  base::instant now_{seconds(1000)};
  std::vector<choice::send_permits> hosts_;
  std::vector<limits::send_reservations> authorities_;
  std::size_t stopped_ = authority_count;
  std::multimap<base::instant, std::function<void()>> pending_;
  std::vector<base::instant> sent_;
};

std::size_t allowed_in_a_window(double limit) {
  return static_cast<std::size_t>(1.5 * limit * 4 + 5);
}

// Guards against a limit that each host keeps to on its own, but the fleet exceeds (incident 09).
RC_GTEST_PROP(limited_upstream_fleet, stays_within_the_limit_in_every_window, ()) {
  const auto hosts = *rc::gen::element<std::size_t>(1, 17, 110, 472);
  const auto limit = *rc::gen::element(0.0, 0.3, 2.3, 3.2, 12.0, 40.0);
  saturated_fleet fleet(hosts, limit, *rc::gen::arbitrary<std::uint64_t>());
  fleet.run(seconds(12));
  fleet.restart_authority(*rc::gen::inRange<std::size_t>(0, authority_count));
  fleet.run(seconds(8));
  RC_ASSERT(fleet.most_in_a_window() <= allowed_in_a_window(limit));
}

TEST(limited_upstream_fleet, uses_most_of_the_limit_while_it_has_calls) {
  for (const double limit : {2.3, 12.0}) {
    saturated_fleet fleet(17, limit, 20261204);
    fleet.run(seconds(60));
    EXPECT_GE(static_cast<double>(fleet.sends()), 0.5 * limit * 60) << limit;
  }
}

TEST(limited_upstream_fleet, goes_on_with_the_other_authorities_when_one_is_down) {
  constexpr double limit = 6;
  saturated_fleet fleet(17, limit, 20261204);
  fleet.stop_authority(1);
  fleet.run(seconds(60));
  EXPECT_GE(static_cast<double>(fleet.sends()), 0.3 * limit * 60);
}

}  // namespace
}  // namespace catkintack::serving
