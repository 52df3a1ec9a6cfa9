/// @file
/// Messages between hosts: cereal's portable binary form under a keyed digest.
#pragma once

#include <boost/leaf.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>

#include "catkintack/net/net_error.hpp"

namespace catkintack::net {

/// @brief Seals a payload.
/// @param key The fleet's peer key.
/// @param context Bytes that both ends know, which tie the payload to its place in a session.
/// @param payload The payload.
/// @return HMAC-SHA-256 of context and payload, then the payload.
std::string sign_message(const std::string& key,
                         const std::string& context,
                         const std::string& payload);

/// @brief Opens a sealed payload.
/// @param key The fleet's peer key.
/// @param context The bytes given to seal().
/// @param sealed The sealed bytes.
/// @return The payload, or a net_error of kind not_authentic.
boost::leaf::result<std::string> verify_message(const std::string& key,
                                                const std::string& context,
                                                const std::string& signed_bytes);

/// @brief Encodes a message.
/// @param message Any type with a cereal serialize function.
/// @return Its bytes.
template <class Message>
std::string encode(const Message& message) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
  }
  return stream.str();
}

/// @brief Decodes a message.
/// @param bytes The bytes.
/// @return The message, or a net_error of kind malformed when bytes are missing or left over.
template <class Message>
boost::leaf::result<Message> decode(const std::string& bytes) {
  std::istringstream stream(bytes);
  Message message;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(message);
  } catch (const std::exception&) {
    return boost::leaf::new_error(
        net_error{net_error_kind::malformed, "a peer message is cut short"});
  }
  if (stream.peek() != std::istringstream::traits_type::eof()) {
    return boost::leaf::new_error(
        net_error{net_error_kind::malformed, "a peer message has bytes left over"});
  }
  return message;
}

}  // namespace catkintack::net
