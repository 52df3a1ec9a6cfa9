#include "catkintack/choice/send_permits.hpp"

#include <gtest/gtest.h>

namespace catkintack::choice {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::upstream_id press("press-1");
constexpr base::instant start{seconds(100)};

send_permits make_permits(std::size_t authorities = 3) {
  return {{.authority_count = authorities}, base::seeded_random_hook(1)};
}

TEST(send_permits, permit_covers_one_send_from_its_start_on) {
  send_permits permits = make_permits();
  const auto authority = permits.ask(press, start);
  ASSERT_TRUE(authority);
  EXPECT_FALSE(permits.usable(press, start));
  ASSERT_TRUE(permits.on_granted(press, *authority, start, milliseconds(500)));
  EXPECT_FALSE(permits.take(press, start + milliseconds(499)));
  EXPECT_EQ(permits.next_chance(press, start), start + milliseconds(500));
  EXPECT_TRUE(permits.take(press, start + milliseconds(500)));
  EXPECT_FALSE(permits.take(press, start + milliseconds(500)));
}

TEST(send_permits, no_second_question_while_one_is_open_or_a_permit_is_in_hand) {
  send_permits permits = make_permits();
  const auto authority = permits.ask(press, start);
  EXPECT_FALSE(permits.ask(press, start + milliseconds(100)));
  permits.on_granted(press, *authority, start, seconds(1));
  EXPECT_FALSE(permits.ask(press, start + milliseconds(200)));
  EXPECT_TRUE(permits.ask(press, start + seconds(3)));
}

// A host that was suspended must not use a permit whose time has passed.
TEST(send_permits, unused_permit_expires) {
  send_permits permits = make_permits();
  const auto authority = permits.ask(press, start);
  permits.on_granted(press, *authority, start, milliseconds(0));
  EXPECT_FALSE(permits.usable(press, start + seconds(2)));
  EXPECT_FALSE(permits.take(press, start + seconds(2)));
}

TEST(send_permits, repeated_or_late_answer_grants_nothing) {
  send_permits permits = make_permits();
  const auto authority = permits.ask(press, start);
  EXPECT_FALSE(permits.on_granted(press, *authority, start - milliseconds(1), milliseconds(0)));
  EXPECT_TRUE(permits.on_granted(press, *authority, start, milliseconds(0)));
  EXPECT_TRUE(permits.take(press, start));
  EXPECT_FALSE(permits.on_granted(press, *authority, start, milliseconds(0)));
  EXPECT_FALSE(permits.take(press, start));
}

TEST(send_permits, silent_authority_is_not_asked_for_a_while) {
  send_permits permits = make_permits(2);
  const auto silent = permits.ask(press, start);
  const auto other = permits.ask(press, start + milliseconds(400));
  ASSERT_TRUE(other);
  EXPECT_NE(*other, *silent);
  // The pause holds for questions about other upstreams too.
  const auto third = permits.ask(base::upstream_id("press-2"), start + milliseconds(400));
  ASSERT_TRUE(third);
  EXPECT_NE(*third, *silent);
}

TEST(send_permits, refusing_authority_is_asked_again_after_its_wait) {
  send_permits permits = make_permits(1);
  const auto authority = permits.ask(press, start);
  permits.on_refused(press, *authority, start, milliseconds(700));
  EXPECT_FALSE(permits.ask(press, start + milliseconds(699)));
  const base::instant again = permits.next_chance(press, start);
  EXPECT_GE(again, start + milliseconds(700));
  EXPECT_LE(again, start + milliseconds(1100));
  EXPECT_TRUE(permits.ask(press, again));
}

TEST(send_permits, without_authorities_nothing_is_permitted) {
  send_permits permits = make_permits(0);
  EXPECT_GT(permits.next_chance(press, start), start);
  EXPECT_FALSE(permits.ask(press, start));
  EXPECT_FALSE(permits.usable(press, start));
  EXPECT_GT(permits.next_chance(press, start), start);
}

}  // namespace
}  // namespace catkintack::choice
