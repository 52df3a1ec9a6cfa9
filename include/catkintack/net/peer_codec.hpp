/// @file
/// Encoding of messages between hosts: cereal's portable binary format, authenticated with HMAC.
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

/// @brief Authenticates a payload.
/// @param key Secret shared by all hosts.
/// @param context Bytes known to both ends that bind the payload to its position in a session.
/// @return The HMAC-SHA-256 of context and payload, followed by the payload.
std::string sign_message(const std::string& key,
                         const std::string& context,
                         const std::string& payload);

/// @brief Verifies a message and returns its payload.
/// @param key Secret shared by all hosts.
/// @param context The bytes passed to sign_message().
/// @param signed_bytes Result of sign_message().
/// @return The payload, or a net_error of kind not_authentic.
boost::leaf::result<std::string> verify_message(const std::string& key,
                                                const std::string& context,
                                                const std::string& signed_bytes);

/// @brief Encodes a message.
/// @param message Value of a type with a cereal serialize function.
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
/// @return The message, or a net_error of kind malformed when it is truncated or has trailing
/// bytes.
template <class Message>
boost::leaf::result<Message> decode(const std::string& bytes) {
  std::istringstream stream(bytes);
  Message message;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(message);
  } catch (const std::exception&) {
    return boost::leaf::new_error(net_error{net_error_kind::malformed, "peer message truncated"});
  }
  if (stream.peek() != std::istringstream::traits_type::eof()) {
    return boost::leaf::new_error(
        net_error{net_error_kind::malformed, "peer message has trailing bytes"});
  }
  return message;
}

}  // namespace catkintack::net
