// Answers that break the protocol, in each way that a faulty upstream may.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <ostream>

#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using routes::delivery_kind;
using tests::received_request;
using tests::scripted_caller;
using tests::scripted_reply;
using tests::serving_fixture;

const std::string proof = "Catkintack-Proof: p\r\nCatkintack-Request-Id: one\r\n";

/// @brief An answer to the call "one" with a body of five bytes.
std::string answer(const std::string& status_line, const std::string& fields) {
  return status_line + "\r\n" + proof + fields + "Content-Length: 5\r\n\r\nhello";
}

std::string with_fields(const std::string& fields) { return answer("HTTP/1.1 200 OK", fields); }

std::string framed(const std::string& framing, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + proof + framing + "\r\n" + body;
}

std::string chunked(const std::string& body) {
  return framed("Transfer-Encoding: chunked\r\n", body);
}

struct answer_case {
  const char* name;
  std::string bytes;

  /// Keeps the bytes out of the test names that ctest lists.
  friend std::ostream& operator<<(std::ostream& out, const answer_case& one) {
    return out << one.name;
  }
};

/// @brief What a caller receives whose call is answered with some bytes, after which the upstream
/// closes the connection.
std::string received_for(const std::string& bytes) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once);
  world.add("a", [&](const received_request&) -> scripted_reply {
    return {.bytes = bytes, .close_after = true};
  });
  scripted_caller caller(world);
  caller.send(
      "GET /p/x HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: one\r\n"
      "Catkintack-Time-Left-Ms: 4000\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(caller.wait_for_close());
  return caller.received_bytes;
}

class malformed_answer : public testing::TestWithParam<answer_case> {};

// Guards against bytes that are no answer and reach a caller as one.
TEST_P(malformed_answer, is_not_forwarded) {
  const std::string received = received_for(GetParam().bytes);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << received;
  EXPECT_EQ(received.find("Catkintack-Proof"), std::string::npos) << received;
}

INSTANTIATE_TEST_SUITE_P(
    heads,
    malformed_answer,
    testing::Values(
        answer_case{"status_000", answer("HTTP/1.1 000 Zero", "")},
        answer_case{"status_000_then_answer",
                    "HTTP/1.1 000 Zero\r\nCatkintack-Request-Id: one\r\n\r\n" + with_fields("")},
        answer_case{"status_099", answer("HTTP/1.1 099 Low", "")},
        answer_case{"status_600", answer("HTTP/1.1 600 High", "")},
        answer_case{"status_999", answer("HTTP/1.1 999 High", "")},
        answer_case{"status_of_two_digits", answer("HTTP/1.1 20 OK", "")},
        answer_case{"status_of_four_digits", answer("HTTP/1.1 2000 OK", "")},
        answer_case{"status_with_sign", answer("HTTP/1.1 +20 OK", "")},
        answer_case{"no_status", answer("HTTP/1.1 OK", "")},
        answer_case{"no_blank_after_the_status", answer("HTTP/1.1 200", "")},
        answer_case{"protocol_switch",
                    "HTTP/1.1 101 Switching Protocols\r\n" + proof + "Upgrade: x\r\n\r\n"},
        answer_case{"two_blanks_in_the_status_line", answer("HTTP/1.1  200 OK", "")},
        answer_case{"version_2", answer("HTTP/2.0 200 OK", "")},
        answer_case{"version_0_9", answer("HTTP/0.9 200 OK", "")},
        answer_case{"version_in_lower_case", answer("http/1.1 200 OK", "")},
        answer_case{"no_version", answer("200 OK", "")},
        answer_case{"line_before_the_status_line", "X-Odd: y\r\n" + with_fields("")},
        answer_case{"control_byte_in_the_reason", answer("HTTP/1.1 200 O\x01K", "")},
        answer_case{"blank_in_a_field_name", with_fields("X Odd: y\r\n")},
        answer_case{"blank_before_the_colon", with_fields("X-Odd : y\r\n")},
        answer_case{"tab_before_the_colon", with_fields("X-Odd\t: y\r\n")},
        answer_case{"blank_before_the_colon_of_the_length",
                    framed("Content-Length : 5\r\n", "hello")},
        answer_case{"blank_before_the_colon_of_the_coding",
                    framed("Transfer-Encoding : chunked\r\n", "5\r\nhello\r\n0\r\n\r\n")},
        answer_case{"folded_line", with_fields("X-Odd: y\r\n folded\r\n")},
        answer_case{"folded_line_like_a_field", with_fields("X-Odd: y\r\n\tX-Other: z\r\n")},
        answer_case{"blank_before_the_first_field",
                    "HTTP/1.1 200 OK\r\n X-Odd: y\r\n" + proof + "Content-Length: 5\r\n\r\nhello"},
        answer_case{"control_byte_in_a_field_name", with_fields("X-\x01Odd: y\r\n")},
        answer_case{"zero_byte_in_a_field_name",
                    with_fields(std::string("X-") + '\0' + "Odd: y\r\n")},
        answer_case{"delete_byte_in_a_field_name", with_fields("X-\x7fOdd: y\r\n")},
        answer_case{"high_byte_in_a_field_name", with_fields("X-\xe4Odd: y\r\n")},
        answer_case{"separator_in_a_field_name", with_fields("X@Odd: y\r\n")},
        answer_case{"empty_field_name", with_fields(": y\r\n")},
        answer_case{"no_colon", with_fields("X-Odd\r\n")},
        answer_case{"control_byte_in_a_field_value", with_fields("X-Odd: y\x02z\r\n")},
        answer_case{"zero_byte_in_a_field_value",
                    with_fields(std::string("X-Odd: y") + '\0' + "z\r\n")},
        answer_case{"carriage_return_in_a_field_value", with_fields("X-Odd: y\rz\r\n")},
        answer_case{"line_feed_in_a_field_value", with_fields("X-Odd: y\nX-Other: z\r\n")},
        answer_case{"head_that_ends_early", "HTTP/1.1 200 OK\r\n" + proof},
        answer_case{"no_answer", ""},
        answer_case{"nine_informational_answers",
                    [] {
                      std::string bytes;
                      for (int i = 0; i < 9; ++i) {
                        bytes += "HTTP/1.1 103 Early Hints\r\n\r\n";
                      }
                      return bytes + with_fields("");
                    }()}),
    [](const auto& one) { return one.param.name; });

INSTANTIATE_TEST_SUITE_P(
    lengths,
    malformed_answer,
    testing::Values(
        answer_case{"two_lengths", framed("Content-Length: 5\r\nContent-Length: 3\r\n", "hello")},
        answer_case{"the_same_length_twice",
                    framed("Content-Length: 5\r\nContent-Length: 5\r\n", "hello")},
        answer_case{"list_of_lengths", framed("Content-Length: 5, 5\r\n", "hello")},
        answer_case{"negative_length", framed("Content-Length: -5\r\n", "hello")},
        answer_case{"length_with_plus", framed("Content-Length: +5\r\n", "hello")},
        answer_case{"hexadecimal_length", framed("Content-Length: 0x5\r\n", "hello")},
        answer_case{"empty_length", framed("Content-Length:\r\n", "hello")},
        answer_case{"length_above_all_limits",
                    framed("Content-Length: 99999999999999999999\r\n", "hello")},
        answer_case{"short_body", framed("Content-Length: 6\r\n", "hello")},
        answer_case{"length_and_coding",
                    framed("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                           "5\r\nhello\r\n0\r\n\r\n")},
        answer_case{"unknown_coding", framed("Transfer-Encoding: gzip\r\n", "hello")},
        answer_case{"identity_coding", framed("Transfer-Encoding: identity\r\n", "hello")},
        answer_case{"two_codings",
                    framed("Transfer-Encoding: gzip, chunked\r\n", "5\r\nhello\r\n0\r\n\r\n")},
        answer_case{"chunked_twice",
                    framed("Transfer-Encoding: chunked, chunked\r\n", "5\r\nhello\r\n0\r\n\r\n")},
        answer_case{"coding_in_two_fields",
                    framed("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                           "5\r\nhello\r\n0\r\n\r\n")},
        answer_case{"coding_of_http_1_0",
                    "HTTP/1.0 200 OK\r\n" + proof +
                        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"}),
    [](const auto& one) { return one.param.name; });

INSTANTIATE_TEST_SUITE_P(
    chunks,
    malformed_answer,
    testing::Values(
        answer_case{"no_chunk", chunked("")},
        answer_case{"no_last_chunk", chunked("5\r\nhello\r\n")},
        answer_case{"no_end_of_trailer", chunked("5\r\nhello\r\n0\r\n")},
        answer_case{"short_chunk", chunked("6\r\nhello")},
        answer_case{"empty_size", chunked("\r\nhello\r\n0\r\n\r\n")},
        answer_case{"size_that_is_no_number", chunked("g\r\nhello\r\n0\r\n\r\n")},
        answer_case{"negative_size", chunked("-5\r\nhello\r\n0\r\n\r\n")},
        answer_case{"prefixed_size", chunked("0x5\r\nhello\r\n0\r\n\r\n")},
        answer_case{"blank_before_the_size", chunked(" 5\r\nhello\r\n0\r\n\r\n")},
        answer_case{"size_above_all_limits", chunked("fffffffffffffffff5\r\nhello\r\n0\r\n\r\n")},
        answer_case{"no_line_end_after_the_chunk", chunked("5\r\nhello0\r\n\r\n")},
        answer_case{"chunk_longer_than_its_size", chunked("4\r\nhello\r\n0\r\n\r\n")},
        answer_case{"line_feed_only", chunked("5\nhello\n0\n\n")},
        answer_case{"trailer_without_colon", chunked("5\r\nhello\r\n0\r\nX-Odd\r\n\r\n")},
        answer_case{"blank_in_a_trailer_name", chunked("5\r\nhello\r\n0\r\nX Odd: y\r\n\r\n")}),
    [](const auto& one) { return one.param.name; });

// The same answers without the fault.
TEST(valid_answer, is_forwarded_however_it_is_framed) {
  for (const std::string& bytes :
       {with_fields(""), with_fields("X-Odd:\r\nX_odd.1~: \xe4\t\"y\" \r\n"),
        answer("HTTP/1.1 200 ", ""), answer("HTTP/1.0 200 OK", ""), framed("", "hello"),
        chunked("5;a=b\r\nhello\r\n0\r\nX-Late: y\r\n\r\n"),
        chunked("00002\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"),
        framed("transfer-encoding:\tCHUNKED \r\n", "5\r\nhello\r\n0\r\n\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
            with_fields("")}) {
    const std::string received = received_for(bytes);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << bytes << "\n" << received;
    EXPECT_NE(received.find("hello"), std::string::npos) << received;
  }
}

// Guards against a trailer that changes what the head of the answer said.
TEST(valid_answer, trailer_does_not_become_part_of_the_head) {
  const std::string received =
      received_for(chunked("5\r\nhello\r\n0\r\nCatkintack-Not-Run: 1\r\nX-Late: y\r\n\r\n"));
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
  EXPECT_EQ(received.find("X-Late"), std::string::npos) << received;
  EXPECT_TRUE(received_for("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "5\r\nhello\r\n0\r\nCatkintack-Proof: p\r\n\r\n")
                  .starts_with("HTTP/1.1 502"));
}

// Guards against an answer of another request that names both.
TEST(answer_with_two_ids, is_not_forwarded) {
  const std::string received = received_for(
      "HTTP/1.1 200 OK\r\nCatkintack-Proof: p\r\nCatkintack-Request-Id: one\r\n"
      "Catkintack-Request-Id: two\r\nContent-Length: 5\r\n\r\nhello");
  EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << received;
}

// Guards against a faulty byte at any place: whatever a caller gets as an answer has the complete
// body that its head announces.
RC_GTEST_PROP(malformed_answer_property, caller_gets_a_whole_body_or_none, ()) {
  std::string bytes =
      *rc::gen::element(with_fields("X-Odd: y\r\n"), chunked("2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"));
  const auto edits = *rc::gen::inRange(1, 4);
  for (int i = 0; i < edits; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
    const std::string odd = *rc::gen::element<std::string>(" ", "\t", "\r", "\n", "\r\n", ":", "0",
                                                           "5", std::string(1, '\0'), "\x7f", "x");
    if (*rc::gen::arbitrary<bool>() && at < bytes.size()) {
      bytes.erase(at, 1);
    } else {
      bytes.insert(at, odd);
    }
  }
  const std::string received = received_for(bytes);
  RC_ASSERT(received.starts_with("HTTP/1.1 "));
  if (received.starts_with("HTTP/1.1 200")) {
    const std::size_t head_end = received.find("\r\n\r\n");
    RC_ASSERT(head_end != std::string::npos);
    const std::string head = received.substr(0, head_end);
    const std::string body = received.substr(head_end + 4);
    RC_ASSERT(head.find("Catkintack-Proof: ") != std::string::npos);
    const std::size_t length = head.find("Content-Length: ");
    if (length != std::string::npos) {
      RC_ASSERT(std::stoul(head.substr(length + 16)) == body.size());
    } else {
      RC_ASSERT(body.ends_with("0\r\n\r\n"));
    }
    for (const char byte : head) {
      RC_ASSERT(byte == '\r' || byte == '\n' || byte == '\t' ||
                (static_cast<unsigned char>(byte) >= 0x20 && byte != 0x7f));
    }
  }
}

}  // namespace
}  // namespace catkintack::serving
