#include "catkintack/net/delivery_messages.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "catkintack/net/peer_codec.hpp"

namespace catkintack::net {
namespace {

using delivery::outcome;

delivery::hand_over_part make_part() {
  delivery::hand_over_part part{{base::host_id("gw-1"), base::incarnation(7)}, 3, true, {}};
  const auto body = std::make_shared<const delivery::upstream_response>(
      delivery::upstream_response{200, {{"Served-By", "press-1"}}, std::string("a\0b", 3)});
  part.entries.push_back(
      {base::request_id("gw-1.7.3.a"), 42, {outcome::answer, 200, body, {}, {}}});
  part.entries.push_back({base::request_id("gw-1.7.3.b"),
                          43,
                          {outcome::unknown, 502, nullptr, "lost", std::chrono::seconds(1)}});
  return part;
}

TEST(delivery_messages, hand_over_is_unchanged_by_encoding) {
  const auto sent = encode(to_wire(make_part(), base::host_id("gw-2")));
  const auto message = decode<hand_over_message>(sent);
  ASSERT_TRUE(message);
  EXPECT_EQ(message.value().successor, base::host_id("gw-2"));
  const auto part = from_wire(message.value());
  ASSERT_TRUE(part);
  EXPECT_EQ(part->predecessor, make_part().predecessor);
  EXPECT_EQ(part->oldest_epoch, 3U);
  EXPECT_TRUE(part->last);
  ASSERT_EQ(part->entries.size(), 2U);
  EXPECT_EQ(*part->entries[0].response.upstream_response,
            *make_part().entries[0].response.upstream_response);
  EXPECT_EQ(part->entries[1].response.retry_after, base::duration(std::chrono::seconds(1)));
}

TEST(delivery_messages, rejects_inconsistent_final_answer) {
  wire_final_response wire;
  wire.outcome = static_cast<std::uint8_t>(outcome::answer);
  EXPECT_FALSE(from_wire(wire));
  wire.outcome = 9;
  EXPECT_FALSE(from_wire(wire));
}

RC_GTEST_PROP(delivery_messages, truncated_bytes_are_rejected_and_decoding_is_exact, ()) {
  std::string bytes = encode(to_wire(make_part(), base::host_id("gw-2")));
  const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
  RC_ASSERT(!decode<hand_over_message>(bytes.substr(0, cut)));
  const auto text = *rc::gen::arbitrary<std::string>();
  const auto message = decode<forwarded_call>(text);
  if (message) {
    RC_ASSERT(encode(message.value()) == text);
  }
}

}  // namespace
}  // namespace catkintack::net
