#include "catkintack/control/message_channel.hpp"

#include <algorithm>
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
constexpr std::size_t piece_bytes = 64U << 10U;

}  // namespace

asio::awaitable<error_code> send_frame(serving::beast::tcp_stream& stream, std::string body) {
  std::string frame(length_bytes, '\0');
  for (std::size_t i = 0; i < length_bytes; ++i) {
    frame[i] = static_cast<char>(body.size() >> (8U * (length_bytes - 1 - i)));
  }
  frame += body;
  auto [error, count] = co_await asio::async_write(stream, asio::buffer(frame), no_throw);
  co_return error;
}

asio::awaitable<std::pair<std::optional<std::string>, error_code>> receive_frame(
    serving::beast::tcp_stream& stream) {
  std::pair<std::optional<std::string>, error_code> result;
  std::array<unsigned char, length_bytes> header{};
  auto [error, count] = co_await asio::async_read(stream, asio::buffer(header), no_throw);
  if (error) {
    result.second = error;
    co_return result;
  }
  std::size_t length = 0;
  for (const unsigned char byte : header) {
    length = (length << 8U) | byte;
  }
  if (length > max_frame_bytes) {
    result.second = asio::error::message_size;
    co_return result;
  }
  // Grows with the bytes that arrive, not with the length that the other side announces.
  std::string body;
  while (body.size() < length) {
    const std::size_t before = body.size();
    body.resize(std::min(length, before + piece_bytes));
    auto [body_error, body_count] = co_await asio::async_read(
        stream, asio::buffer(body.data() + before, body.size() - before), no_throw);
    if (body_error) {
      result.second = body_error;
      co_return result;
    }
  }
  result.first = std::move(body);
  co_return result;
}

}  // namespace catkintack::control
