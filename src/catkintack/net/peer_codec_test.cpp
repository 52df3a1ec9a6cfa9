#include "catkintack/net/peer_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "catkintack/membership/heartbeat.hpp"

namespace catkintack::net {
namespace {

membership::heartbeat make_heartbeat() {
  membership::heartbeat message;
  message.host = base::host_id("gw-1");
  message.run = base::incarnation(4);
  message.sequence = 9;
  return message;
}

TEST(peer_codec, decodes_encoded_message) {
  const std::string signed_bytes = sign_message("key", "context", encode(make_heartbeat()));
  const auto payload = verify_message("key", "context", signed_bytes);
  ASSERT_TRUE(payload);
  const auto message = decode<membership::heartbeat>(payload.value());
  ASSERT_TRUE(message);
  EXPECT_EQ(message.value().host.value(), "gw-1");
  EXPECT_EQ(message.value().sequence, 9U);
}

TEST(peer_codec, rejects_wrong_key_and_wrong_context) {
  const std::string signed_bytes = sign_message("key", "context", "payload");
  EXPECT_FALSE(verify_message("other", "context", signed_bytes));
  EXPECT_FALSE(verify_message("key", "other", signed_bytes));
  EXPECT_FALSE(verify_message("key", "context", "short"));
}

RC_GTEST_PROP(peer_codec, rejects_altered_bytes, ()) {
  std::string signed_bytes = sign_message("key", "", encode(make_heartbeat()));
  const auto position = *rc::gen::inRange<std::size_t>(0, signed_bytes.size());
  const auto change = *rc::gen::inRange(1, 256);
  signed_bytes[position] = static_cast<char>(signed_bytes[position] ^ change);
  RC_ASSERT(!verify_message("key", "", signed_bytes));
}

RC_GTEST_PROP(peer_codec, random_bytes_decode_or_are_rejected, (const std::string& bytes)) {
  const bool decoded = static_cast<bool>(decode<membership::heartbeat>(bytes));
  RC_CLASSIFY(decoded, "decoded");
}

}  // namespace
}  // namespace catkintack::net
