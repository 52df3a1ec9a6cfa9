#include "catkintack/daemon/call_mailbox.hpp"

#include <gtest/gtest.h>

namespace catkintack::daemon {
namespace {

gateway::send_attempt make_attempt(std::uint64_t number) {
  gateway::send_attempt attempt;
  attempt.attempt = base::attempt_number(number);
  return attempt;
}

TEST(call_mailbox, refuses_a_second_attempt_while_one_is_running) {
  call_mailbox mailbox;
  EXPECT_TRUE(mailbox.post(make_attempt(1)));
  EXPECT_FALSE(mailbox.post(make_attempt(2)));
  mailbox.pop();
  EXPECT_FALSE(mailbox.post(make_attempt(2)));
  mailbox.mark_attempt_ended();
  EXPECT_TRUE(mailbox.post(make_attempt(3)));
}

// The core may request a hedge after an attempt has ended and before that end is reported to it.
TEST(call_mailbox, pops_the_final_answer_before_a_pending_attempt) {
  call_mailbox mailbox;
  mailbox.post(make_attempt(2));
  mailbox.post(gateway::finish_call{});
  EXPECT_TRUE(std::holds_alternative<gateway::finish_call>(mailbox.pop()));
  ASSERT_EQ(mailbox.pending_attempts().size(), 1U);
  EXPECT_EQ(mailbox.pending_attempts().front().attempt.value(), 2U);
}

}  // namespace
}  // namespace catkintack::daemon
