#include "catkintack/control/compression.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace catkintack::control {
namespace {

constexpr std::size_t megabyte = 1U << 20U;

RC_GTEST_PROP(compression, round_trip_restores_the_bytes, (const std::string& part)) {
  const auto repeats = *rc::gen::inRange(0, 200);
  std::string bytes;
  for (int i = 0; i < repeats; ++i) {
    bytes += part;
  }
  RC_ASSERT(decompress(compress(bytes), megabyte) == bytes);
}

RC_GTEST_PROP(compression, any_bytes_are_decoded_within_the_limit, (const std::string& bytes)) {
  const auto restored = decompress(bytes, 100);
  RC_ASSERT(!restored || restored->size() <= 100);
}

TEST(compression, repetitive_bytes_shrink) {
  EXPECT_LT(compress(std::string(100'000, 'x')).size(), 2000U);
}

TEST(compression, result_above_the_limit_is_refused) {
  EXPECT_FALSE(decompress(compress(std::string(5000, 'x')), 4999));
  EXPECT_FALSE(decompress(compress("12345"), 4));
}

TEST(compression, truncated_and_changed_bytes_are_refused) {
  const std::string whole = compress(std::string(5000, 'x'));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(decompress(whole.substr(0, size), megabyte)) << size;
  }
  std::string changed = whole;
  changed[4] = static_cast<char>(changed[4] + 1);
  EXPECT_FALSE(decompress(changed, megabyte));
}

}  // namespace
}  // namespace catkintack::control
