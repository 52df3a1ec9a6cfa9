/// @file
/// Cereal messages over TCP: the length in four bytes, most significant first, and an archive.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <sstream>
#include <string>

#include "catkintack/serving/io.hpp"

namespace catkintack::control {

/// @brief Sends one message's bytes; the stream's time limit holds.
/// @return The error, if any.
serving::asio::awaitable<serving::error_code> send_bytes(serving::beast::tcp_stream& stream,
                                                         std::string body);

/// @brief Receives one message's bytes; the stream's time limit holds.
/// @return The bytes, or nothing with the error; an impossible length is an error too.
serving::asio::awaitable<std::pair<std::optional<std::string>, serving::error_code>> receive_bytes(
    serving::beast::tcp_stream& stream);

/// @brief Writes a message as an archive.
template <class Message>
std::string encode(const Message& message) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  return std::move(out).str();
}

/// @brief Reads an archive.
/// @return Nothing for bytes of another version or nonsense.
template <class Message>
std::optional<Message> decode(const std::string& bytes) {
  try {
    std::istringstream in(bytes);
    cereal::PortableBinaryInputArchive archive(in);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;  // Callers log it with the peer's address.
  }
}

}  // namespace catkintack::control
