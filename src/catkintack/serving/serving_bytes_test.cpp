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

/// @brief A randomly generated legal request.
struct generated_request {
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool chunked = false;
  std::size_t piece = 1;  ///< Bytes per chunk.
};

std::string random_text(const std::string& alphabet, std::size_t max_length) {
  const auto length = *rc::gen::inRange<std::size_t>(0, max_length + 1);
  std::string text;
  for (std::size_t i = 0; i < length; ++i) {
    text.push_back(alphabet[*rc::gen::inRange<std::size_t>(0, alphabet.size())]);
  }
  return text;
}

generated_request generate_request() {
  generated_request generated;
  generated.target = "/p/" + random_text("abz09-._~!$&'()*+,;=:@/%", 40);
  if (*rc::gen::arbitrary<bool>()) {
    generated.target += "?" + random_text("a=&%41+/?;", 30);
  }
  const auto count = *rc::gen::inRange(0, 6);
  for (int i = 0; i < count; ++i) {
    const std::string inner = random_text("ab ,;=\"%\t()<>@", 60);
    // Whitespace around a field value is not part of it (RFC 9110, section 5.5), so values start
    // and end with a letter.
    generated.headers.emplace_back("X-" + std::to_string(*rc::gen::inRange(0, 3)),
                                   "v" + inner + "v");
  }
  generated.body = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  generated.chunked = *rc::gen::arbitrary<bool>();
  generated.piece = *rc::gen::inRange<std::size_t>(1, 9);
  return generated;
}

std::string to_text(const generated_request& generated) {
  std::string text = "POST " + generated.target + " HTTP/1.1\r\nHost: a.example\r\n";
  for (const auto& [name, value] : generated.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!generated.chunked) {
    return text + "Content-Length: " + std::to_string(generated.body.size()) + "\r\n\r\n" +
           generated.body;
  }
  text += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < generated.body.size(); at += generated.piece) {
    const std::string piece = generated.body.substr(at, generated.piece);
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

RC_GTEST_PROP(serving_bytes, legal_requests_and_responses_pass_byte_for_byte, ()) {
  const generated_request generated = generate_request();
  const std::string answer = *rc::gen::container<std::string>(rc::gen::arbitrary<char>()) + "end";
  serving_fixture world;
  world.set_route(routes::delivery_kind::at_most_once);
  auto& upstream = world.add("a", [&](const received_request& request) -> scripted_reply {
    return {.bytes = valid_response(request, answer)};
  });
  scripted_caller caller(world);
  caller.send(to_text(generated));
  RC_ASSERT(caller.wait_for("\r\n\r\n" + answer));
  RC_ASSERT(upstream.received.size() == 1U);
  const received_request& seen = upstream.received[0];
  RC_ASSERT(std::string(seen.target()) == generated.target);
  RC_ASSERT(seen.body() == generated.body);
  for (const std::string name : {"X-0", "X-1", "X-2"}) {
    std::vector<std::string> sent;
    for (const auto& [key, value] : generated.headers) {
      if (key == name) {
        sent.push_back(value);
      }
    }
    RC_ASSERT(values_of(seen, name) == sent);
  }
}

}  // namespace
}  // namespace catkintack::serving
