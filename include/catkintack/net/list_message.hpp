/// @file
/// Message that transfers a list between hosts over TCP.
#pragma once

#include <string>

#include "catkintack/config/list_kind.hpp"

namespace catkintack::net {

/// @brief Text of a list. The body of a fetch_lists request holds the config::list_stamps of the
/// sender; the response holds a vector of list_message with the lists that are newer.
struct list_message {
  config::list_kind kind = config::list_kind::plans;
  std::string text;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, text);
  }
};

}  // namespace catkintack::net
