/// @file
/// Checks the heads of HTTP/1.1 responses.
#pragma once

#include <cstdint>
#include <string_view>

namespace catkintack::base {

/// @brief Why a response head is malformed.
enum class http_head_fault : std::uint8_t {
  none,
  version,         ///< Neither HTTP/1.0 nor HTTP/1.1.
  status,          ///< Not three digits from 100 to 599, or a protocol switch.
  reason,          ///< A control byte in the reason phrase.
  field_name,      ///< Not a token that a colon follows, or a folded line.
  field_value,     ///< A control byte in a field value.
  content_length,  ///< Not one decimal number.
  transfer_coding  ///< Not "chunked" alone, or together with a length.
};

/// @brief Checks a head as RFC 9112 and RFC 9110 define it.
///
/// Parsers accept more, such as folded lines and codings that they do not decode. What such a head
/// means depends on the parser, so that it must not be forwarded.
/// @param head From the status line up to and including the empty line.
http_head_fault check_response_head(std::string_view head);

}  // namespace catkintack::base
