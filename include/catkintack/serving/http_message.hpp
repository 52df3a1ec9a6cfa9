/// @file
/// Writes HTTP/1.1 messages as they go on the wire.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "catkintack/base/units.hpp"

namespace catkintack::serving {

/// @brief Builds the head of a message line by line.
class head_writer {
 public:
  /// @brief Begins with a request line.
  static head_writer request(std::string_view method, std::string_view target);
  /// @brief Begins with a status line.
  static head_writer answer(unsigned status, std::string_view reason);

  /// @brief Adds one header.
  head_writer& add(std::string_view name, std::string_view value);
  /// @brief Adds those headers of a received message that are meant for the other end.
  /// @param received The message; headers of its connection, and those it names there, are left
  /// out.
  /// @param replaced A header that is left out too, since it is set anew.
  head_writer& pass_on(const boost::beast::http::fields& received,
                       std::initializer_list<std::string_view> replaced);
  /// @brief Adds Content-Length, or chunked coding without one.
  head_writer& length(std::optional<std::uint64_t> bytes);

  /// @brief Ends the head.
  std::string finish() &&;

 private:
  std::string text_;
};

/// @brief One piece of a body in chunked coding.
/// @param piece The bytes; empty ends the body.
std::string chunk(std::string_view piece);

/// @brief An answer made by this host.
struct own_answer {
  unsigned status = 503;
  std::string sentence{};                ///< The body: why.
  base::duration retry_after{};          ///< When to come back; 0 for no such header.
  std::string_view request_id_header{};  ///< Name of the header that carries the id back.
  std::string request_id{};              ///< Empty if the caller gave none.
};

/// @brief Writes an answer made by this host.
/// @param answer The answer.
/// @param close Whether the connection ends after it.
std::string to_text(const own_answer& answer, bool close);

}  // namespace catkintack::serving
