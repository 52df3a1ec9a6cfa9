#include "catkintack/control/bounded_archive.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <optional>
#include <string>
#include <vector>

#include "catkintack/control/message_channel.hpp"

namespace catkintack::control {
namespace {

/// @brief Counts how many of it were made.
struct counted_element {
  counted_element() { ++made; }
  std::uint32_t value = 0;
  static inline int made = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value);
  }
};

struct sample_message {
  std::uint8_t kind = 0;
  std::string text;
  std::vector<std::string> names;
  std::vector<std::uint16_t> numbers;
  std::optional<double> share;
  bool last = false;

  bool operator==(const sample_message&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, text, names, numbers, share, last);
  }
};

// Guards against a message of a few bytes that makes a host allocate what a length in it announces.
TEST(bounded_archive, elements_that_are_not_there_are_not_made) {
  std::string bytes = encode(std::vector<counted_element>(3));
  constexpr std::size_t count_position = 1;  // After the byte order.
  for (const char high : {'\0', '\1'}) {
    for (const char count : {'\x0a', '\x7f', '\xff'}) {
      bytes[count_position] = count;
      bytes[count_position + 3] = high;
      counted_element::made = 0;
      EXPECT_FALSE(decode<std::vector<counted_element>>(bytes));
      EXPECT_LE(counted_element::made, 5);
    }
  }
}

TEST(bounded_archive, string_longer_than_the_message_is_malformed) {
  std::string bytes = encode(std::string("abc"));
  bytes[3] = 0x40;
  EXPECT_FALSE(decode<std::string>(bytes));
  EXPECT_FALSE(decode<std::string>(""));
}

RC_GTEST_PROP(bounded_archive, reads_what_cereal_writes, ()) {
  const sample_message sent{*rc::gen::arbitrary<std::uint8_t>(),
                            *rc::gen::arbitrary<std::string>(),
                            *rc::gen::arbitrary<std::vector<std::string>>(),
                            *rc::gen::arbitrary<std::vector<std::uint16_t>>(),
                            *rc::gen::element(std::optional<double>(), std::optional(0.25)),
                            *rc::gen::arbitrary<bool>()};
  RC_ASSERT(decode<sample_message>(encode(sent)) == sent);
}

TEST(bounded_archive, other_byte_order_is_read) {
  std::ostringstream out;
  const sample_message sent{7, "t", {"a"}, {1, 515}, 0.25, true};
  cereal::PortableBinaryOutputArchive{
      out, cereal::PortableBinaryOutputArchive::Options::BigEndian()}(sent);
  EXPECT_EQ(decode<sample_message>(out.str()), sent);
}

}  // namespace
}  // namespace catkintack::control
