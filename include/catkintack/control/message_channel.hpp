/// @file
/// Length-prefixed cereal messages over TCP: a four-byte big-endian length, then the archive.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <sstream>
#include <string>

#include "catkintack/control/bounded_archive.hpp"
#include "catkintack/serving/io.hpp"

namespace catkintack::control {

/// Largest body of a frame, far above the size of a snapshot with thousands of routes and
/// upstreams.
inline constexpr std::size_t max_frame_bytes = 8U << 20U;

/// @brief Sends one frame; the stream's timeout applies.
/// @return The error, if any.
serving::asio::awaitable<serving::error_code> send_frame(serving::beast::tcp_stream& stream,
                                                         std::string body);

/// @brief Receives one frame; the stream's timeout applies.
/// @return The body, or nothing and the error; a length above the limit is message_size.
serving::asio::awaitable<std::pair<std::optional<std::string>, serving::error_code>> receive_frame(
    serving::beast::tcp_stream& stream);

/// @brief Serializes a message to a binary archive.
template <class Message>
std::string encode(const Message& message) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  return std::move(out).str();
}

/// @brief Deserializes a message.
/// @return Nothing for malformed bytes or another version of the message.
template <class Message>
std::optional<Message> decode(const std::string& bytes) {
  try {
    bounded_input_archive archive(bytes);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;  // The caller reports the failure with the peer's address.
  }
}

}  // namespace catkintack::control
