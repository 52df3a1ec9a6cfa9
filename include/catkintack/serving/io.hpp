/// @file
/// Shorthands for asynchronous input and output.
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

/// Completes with a tuple that begins with the error code, in place of an exception.
inline constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

using request_parser = http::request_parser<http::buffer_body>;
using response_parser = http::response_parser<http::buffer_body>;

/// @brief Beast's view of characters as the standard library's.
inline std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

/// @brief Reads body bytes until the message ends or `most` bytes are held.
/// @param stream Where to read.
/// @param buffer Bytes read ahead.
/// @param parser The message, its header already read.
/// @param held Where the bytes go.
/// @param most When to stop early; the body may exceed it by one piece.
/// @return The error that ended the message early, if any.
template <bool IsRequest>
asio::awaitable<error_code> read_body(beast::tcp_stream& stream,
                                      beast::flat_buffer& buffer,
                                      http::parser<IsRequest, http::buffer_body>& parser,
                                      std::string& held,
                                      std::size_t most) {
  constexpr std::size_t piece_size = 8192;
  std::array<char, piece_size> piece{};
  while (!parser.is_done() && held.size() < most) {
    parser.get().body().data = piece.data();
    parser.get().body().size = piece.size();
    auto [error, count] = co_await http::async_read_some(stream, buffer, parser, no_throw);
    held.append(piece.data(), piece.size() - parser.get().body().size);
    if (error && error != http::error::need_buffer) {
      co_return error;
    }
  }
  co_return error_code{};
}

}  // namespace catkintack::serving
