#include "catkintack/serving/io.hpp"

#include "catkintack/base/http_head.hpp"

namespace catkintack::serving {
namespace {

constexpr std::size_t max_head_bytes = 8192;
constexpr std::size_t read_size = 4096;

error_code to_error(base::http_head_fault fault) {
  switch (fault) {
    case base::http_head_fault::none:
      return {};
    case base::http_head_fault::version:
      return http::error::bad_version;
    case base::http_head_fault::status:
      return http::error::bad_status;
    case base::http_head_fault::reason:
      return http::error::bad_reason;
    case base::http_head_fault::field_name:
      return http::error::bad_field;
    case base::http_head_fault::field_value:
      return http::error::bad_value;
    case base::http_head_fault::content_length:
      return http::error::bad_content_length;
    case base::http_head_fault::transfer_coding:
      return http::error::bad_transfer_encoding;
  }
  return http::error::bad_field;
}

/// @brief Reads until the buffer holds a complete head.
asio::awaitable<std::pair<std::string_view, error_code>> buffer_head(beast::tcp_stream& stream,
                                                                     beast::flat_buffer& buffer) {
  constexpr std::string_view head_end = "\r\n\r\n";
  std::size_t searched = 0;
  for (;;) {
    const std::string_view bytes(static_cast<const char*>(buffer.data().data()), buffer.size());
    const std::size_t end = bytes.find(head_end, searched);
    if (end != std::string_view::npos) {
      co_return std::pair{bytes.substr(0, end + head_end.size()), error_code{}};
    }
    if (bytes.size() >= max_head_bytes) {
      co_return std::pair{std::string_view{}, error_code(http::error::header_limit)};
    }
    searched = bytes.size() < head_end.size() ? 0 : bytes.size() - head_end.size() + 1;
    auto [error, count] = co_await stream.async_read_some(buffer.prepare(read_size), no_throw);
    buffer.commit(count);
    if (error == asio::error::eof) {
      error = buffer.size() == 0 ? http::error::end_of_stream : http::error::partial_message;
    }
    if (error) {
      co_return std::pair{std::string_view{}, error};
    }
  }
}

}  // namespace

asio::awaitable<error_code> read_response_head(beast::tcp_stream& stream,
                                               beast::flat_buffer& buffer,
                                               response_parser& parser) {
  auto [head, read_error] = co_await buffer_head(stream, buffer);
  if (read_error) {
    co_return read_error;
  }
  if (const error_code malformed = to_error(base::check_response_head(head))) {
    co_return malformed;
  }
  // Parsed in place: the head is complete, and another asynchronous read would only delay it.
  error_code error;
  buffer.consume(parser.put(buffer.data(), error));
  if (!error && !parser.is_header_done()) {
    error = http::error::partial_message;
  }
  co_return error;
}

}  // namespace catkintack::serving
