/// @file
/// Aliases and helpers for asynchronous I/O.
#pragma once

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <string>
#include <string_view>

namespace catkintack::serving {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Completion token that returns the error code as the first tuple element instead of throwing.
inline constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

using request_parser = http::request_parser<http::buffer_body>;
using response_parser = http::response_parser<http::buffer_body>;

/// @brief Converts Beast's string view to the standard one.
inline std::string_view to_string_view(beast::string_view text) {
  return {text.data(), text.size()};
}

/// @brief Reads body bytes until the message is complete or `body` holds `max_size` bytes.
/// @param buffer Bytes that have been read ahead from the stream.
/// @param parser Parser of the message, whose header has been read.
/// @param body Receives the bytes.
/// @param max_size Size in bytes at which reading stops; exceeded by at most one read block.
/// @return The error that interrupted the message, if any.
template <bool IsRequest>
asio::awaitable<error_code> read_body(beast::tcp_stream& stream,
                                      beast::flat_buffer& buffer,
                                      http::parser<IsRequest, http::buffer_body>& parser,
                                      std::string& body,
                                      std::size_t max_size) {
  constexpr std::size_t piece_size = 8192;
  std::array<char, piece_size> block{};
  while (!parser.is_done() && body.size() < max_size) {
    parser.get().body().data = block.data();
    parser.get().body().size = block.size();
    auto [error, count] = co_await http::async_read_some(stream, buffer, parser, no_throw);
    body.append(block.data(), block.size() - parser.get().body().size);
    if (error && error != http::error::need_buffer) {
      co_return error;
    }
  }
  co_return error_code{};
}

/// @brief Reads the head of a response, and checks it before it is parsed.
/// @param buffer Bytes that have been read ahead from the stream.
/// @return The error that interrupted it, or that says why it is malformed.
asio::awaitable<error_code> read_response_head(beast::tcp_stream& stream,
                                               beast::flat_buffer& buffer,
                                               response_parser& parser);

}  // namespace catkintack::serving
