#include "catkintack/daemon/call_mailbox.hpp"

#include <gtest/gtest.h>

namespace catkintack::daemon {
namespace {

gateway::send_attempt make_attempt(std::uint64_t number) {
  gateway::send_attempt attempt;
  attempt.attempt = base::attempt_number(number);
  return attempt;
}

TEST(call_mailbox, leaves_a_second_attempt_to_another_thread_while_one_runs) {
  call_mailbox mailbox;
  EXPECT_TRUE(mailbox.post(make_attempt(1)));
  EXPECT_FALSE(mailbox.post(make_attempt(2)));
  mailbox.take();
  EXPECT_FALSE(mailbox.post(make_attempt(2)));
  mailbox.attempt_ended();
  EXPECT_TRUE(mailbox.post(make_attempt(3)));
}

// A hedge may be decided between the end of an attempt and the report of that end.
TEST(call_mailbox, gives_the_final_answer_before_an_attempt_and_names_the_attempt) {
  call_mailbox mailbox;
  mailbox.post(make_attempt(2));
  mailbox.post(gateway::finish_call{});
  EXPECT_TRUE(std::holds_alternative<gateway::finish_call>(mailbox.take()));
  ASSERT_EQ(mailbox.untaken().size(), 1U);
  EXPECT_EQ(mailbox.untaken().front().attempt.value(), 2U);
}

}  // namespace
}  // namespace catkintack::daemon
