// Answers that arrive while the body of the request is being sent.
#include <gtest/gtest.h>

#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using routes::delivery_kind;
using tests::scripted_caller;
using tests::serving_fixture;

const std::string proof = "Catkintack-Proof: p\r\nCatkintack-Request-Id: one\r\n";

/// @brief An upstream that answers as soon as it has read a head, and does not read the body.
class early_upstream {
 public:
  early_upstream(serving_fixture& world, std::string bytes)
      : acceptor_(world.io, {asio::ip::tcp::v4(), 0}), bytes_(std::move(bytes)) {
    directory::endpoint entry;
    entry.record.id = base::upstream_id("early");
    entry.record.service = base::service_id("press");
    entry.record.where = {"127.0.0.1", acceptor_.local_endpoint().port()};
    entry.record.region = world.state.options.region;
    entry.record.slots = 2;
    world.state.upstreams.upsert(entry, world.state.clock());
    asio::co_spawn(world.io, accept(world.io), asio::detached);
  }
  early_upstream(const early_upstream&) = delete;
  early_upstream& operator=(const early_upstream&) = delete;
  early_upstream(early_upstream&&) = delete;
  early_upstream& operator=(early_upstream&&) = delete;
  ~early_upstream() { acceptor_.close(); }

  /// @brief Resets the connection of the call.
  void reset() {
    answered_->socket().set_option(asio::socket_base::linger(true, 0));
    answered_->socket().close();
  }
  bool has_answered() const { return answered_ != nullptr; }

 private:
  asio::awaitable<void> accept(asio::io_context& io) {
    for (;;) {
      auto [error, socket] = co_await acceptor_.async_accept(no_throw);
      if (error) {
        co_return;
      }
      asio::co_spawn(io, serve(std::make_shared<beast::tcp_stream>(std::move(socket))),
                     asio::detached);
    }
  }
  asio::awaitable<void> serve(std::shared_ptr<beast::tcp_stream> stream) {
    beast::flat_buffer buffer;
    for (;;) {
      http::request_parser<http::buffer_body> parser;
      parser.body_limit(boost::none);
      auto [error, count] = co_await http::async_read_header(*stream, buffer, parser, no_throw);
      if (error) {
        co_return;
      }
      if (parser.get().target() != "/health") {
        co_await asio::async_write(*stream, asio::buffer(bytes_), no_throw);
        answered_ = stream;
        co_return;
      }
      const std::string healthy =
          "HTTP/1.1 200 OK\r\nCatkintack-Upstream: early\r\nCatkintack-Load: 0,0,2,100\r\n"
          "Content-Length: 0\r\n\r\n";
      co_await asio::async_write(*stream, asio::buffer(healthy), no_throw);
    }
  }

  asio::ip::tcp::acceptor acceptor_;
  std::string bytes_;
  std::shared_ptr<beast::tcp_stream> answered_;
};

/// @brief Answers a long upload at once and resets the connection before the upload is complete.
std::string received_for_early_answer(const std::string& bytes) {
  constexpr std::size_t first_part = 300U << 10U;
  constexpr std::size_t second_part = 700U << 10U;
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once, std::chrono::seconds(20));
  early_upstream upstream(world, bytes);
  scripted_caller caller(world);
  caller.send(
      "POST /p/x HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: one\r\n"
      "Catkintack-Time-Left-Ms: 20000\r\nContent-Length: " +
      std::to_string(first_part + second_part) + "\r\n\r\n");
  std::size_t sent = 0;
  const std::string block(4096, 'x');
  const auto send_up_to = [&](std::size_t size) {
    for (; sent < size; sent += block.size()) {
      caller.send_some(block);
      world.io.poll();
    }
  };
  send_up_to(first_part);
  EXPECT_TRUE(world.run_until([&] { return upstream.has_answered(); }));
  upstream.reset();
  send_up_to(first_part + second_part);
  EXPECT_TRUE(caller.wait_for("HTTP/1.1 "));
  world.run_until([&] { return caller.received_bytes.find("\r\n\r\n") != std::string::npos; });
  return caller.received_bytes;
}

// Guards against a part of an answer that a caller takes for the whole: the reset was seen by the
// write, so that the following read finds an ordinary end of the stream.
TEST(early_answer, one_without_length_that_ends_with_a_reset_is_not_complete) {
  const std::string received =
      received_for_early_answer("HTTP/1.1 200 OK\r\n" + proof + "\r\npart");
  EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << received;
}

// The same without an upload: here the read meets the reset.
TEST(early_answer, one_without_length_that_is_reset_after_the_request_is_not_complete) {
  serving_fixture world;
  world.set_route(delivery_kind::at_most_once, std::chrono::seconds(20));
  early_upstream upstream(world, "HTTP/1.1 200 OK\r\n" + proof + "\r\npart");
  scripted_caller caller(world);
  caller.get("one");
  ASSERT_TRUE(world.run_until([&] { return upstream.has_answered(); }));
  upstream.reset();
  EXPECT_TRUE(caller.wait_for("HTTP/1.1 502"));
}

TEST(early_answer, complete_one_is_forwarded_although_the_upload_was_not_read) {
  EXPECT_TRUE(
      received_for_early_answer("HTTP/1.1 200 OK\r\n" + proof + "Content-Length: 5\r\n\r\nhello")
          .starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(received_for_early_answer("HTTP/1.1 200 OK\r\n" + proof +
                                        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
                  .starts_with("HTTP/1.1 200"));
}

TEST(early_answer, cut_one_with_a_length_is_not_complete) {
  EXPECT_TRUE(
      received_for_early_answer("HTTP/1.1 200 OK\r\n" + proof + "Content-Length: 5\r\n\r\npart")
          .starts_with("HTTP/1.1 502"));
}

}  // namespace
}  // namespace catkintack::serving
