#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using tests::received_request;
using tests::scripted_caller;
using tests::scripted_reply;
using tests::serving_fixture;
using tests::valid_response;

/// @brief A legal request, as drawn.
struct drawn_request {
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool chunked = false;
  std::size_t piece = 1;  ///< Bytes a chunk.
};

std::string text_of(const std::string& alphabet, std::size_t most) {
  const auto length = *rc::gen::inRange<std::size_t>(0, most + 1);
  std::string text;
  for (std::size_t i = 0; i < length; ++i) {
    text.push_back(alphabet[*rc::gen::inRange<std::size_t>(0, alphabet.size())]);
  }
  return text;
}

drawn_request draw() {
  drawn_request drawn;
  drawn.target = "/p/" + text_of("abz09-._~!$&'()*+,;=:@/%", 40);
  if (*rc::gen::arbitrary<bool>()) {
    drawn.target += "?" + text_of("a=&%41+/?;", 30);
  }
  const auto count = *rc::gen::inRange(0, 6);
  for (int i = 0; i < count; ++i) {
    const std::string inner = text_of("ab ,;=\"%\t()<>@", 60);
    // Blanks around a value are no part of it (RFC 9110, 5.5).
    drawn.headers.emplace_back("X-" + std::to_string(*rc::gen::inRange(0, 3)), "v" + inner + "v");
  }
  drawn.body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  drawn.chunked = *rc::gen::arbitrary<bool>();
  drawn.piece = *rc::gen::inRange<std::size_t>(1, 9);
  return drawn;
}

std::string to_text(const drawn_request& drawn) {
  std::string text = "POST " + drawn.target + " HTTP/1.1\r\nHost: a.example\r\n";
  for (const auto& [name, value] : drawn.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!drawn.chunked) {
    return text + "Content-Length: " + std::to_string(drawn.body.size()) + "\r\n\r\n" + drawn.body;
  }
  text += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < drawn.body.size(); at += drawn.piece) {
    const std::string piece = drawn.body.substr(at, drawn.piece);
    text += std::to_string(piece.size()) + ";ext=\"1\"\r\n" + piece + "\r\n";
  }
  return text + "0\r\n\r\n";
}

std::vector<std::string> values_of(const received_request& request, const std::string& name) {
  std::vector<std::string> values;
  const auto range = request.equal_range(name);
  for (auto one = range.first; one != range.second; ++one) {
    values.emplace_back(one->value());
  }
  return values;
}

RC_GTEST_PROP(serving_bytes, legal_requests_and_answers_pass_byte_for_byte, ()) {
  const drawn_request drawn = draw();
  const std::string answer = *rc::gen::container<std::string>(rc::gen::arbitrary<char>()) + "end";
  serving_fixture world;
  world.set_route(routes::delivery_kind::at_most_once);
  auto& press = world.add("a", [&](const received_request& request) -> scripted_reply {
    return {.bytes = valid_response(request, answer)};
  });
  scripted_caller caller(world);
  caller.send(to_text(drawn));
  RC_ASSERT(caller.wait_for("\r\n\r\n" + answer));
  RC_ASSERT(press.received.size() == 1U);
  const received_request& seen = press.received[0];
  RC_ASSERT(std::string(seen.target()) == drawn.target);
  RC_ASSERT(seen.body() == drawn.body);
  for (const std::string name : {"X-0", "X-1", "X-2"}) {
    std::vector<std::string> sent;
    for (const auto& [key, value] : drawn.headers) {
      if (key == name) {
        sent.push_back(value);
      }
    }
    RC_ASSERT(values_of(seen, name) == sent);
  }
}

}  // namespace
}  // namespace catkintack::serving
