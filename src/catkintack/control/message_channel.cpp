#include "catkintack/control/message_channel.hpp"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
using serving::error_code;
using serving::no_throw;

constexpr std::size_t length_bytes = 4;
// Far above a table of thousands of routes and upstreams.
constexpr std::size_t most_bytes = 8U << 20U;

}  // namespace

asio::awaitable<error_code> send_bytes(serving::beast::tcp_stream& stream, std::string body) {
  std::string text(length_bytes, '\0');
  for (std::size_t i = 0; i < length_bytes; ++i) {
    text[i] = static_cast<char>(body.size() >> (8U * (length_bytes - 1 - i)));
  }
  text += body;
  auto [error, count] = co_await asio::async_write(stream, asio::buffer(text), no_throw);
  co_return error;
}

asio::awaitable<std::pair<std::optional<std::string>, error_code>> receive_bytes(
    serving::beast::tcp_stream& stream) {
  std::pair<std::optional<std::string>, error_code> result;
  std::array<unsigned char, length_bytes> head{};
  auto [error, count] = co_await asio::async_read(stream, asio::buffer(head), no_throw);
  if (error) {
    result.second = error;
    co_return result;
  }
  std::size_t length = 0;
  for (const unsigned char byte : head) {
    length = (length << 8U) | byte;
  }
  if (length > most_bytes) {
    result.second = asio::error::message_size;
    co_return result;
  }
  std::string body(length, '\0');
  auto [cut, read] = co_await asio::async_read(stream, asio::buffer(body), no_throw);
  if (cut) {
    result.second = cut;
    co_return result;
  }
  result.first = std::move(body);
  co_return result;
}

}  // namespace catkintack::control
