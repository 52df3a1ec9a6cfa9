/// @file
/// Bodies of lists as hosts send them to each other over TCP.
#pragma once

#include <string>

#include "catkintack/config/list_kind.hpp"

namespace catkintack::net {

/// @brief One list's text. A fetch_lists request holds config::list_stamps of the asker; the
/// response holds a vector of parcels with the lists that are newer.
struct list_message {
  config::list_kind kind = config::list_kind::plans;
  std::string text;

  /// @brief Serializes the parcel with cereal.
  /// @param archive The cereal archive.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(kind, text);
  }
};

}  // namespace catkintack::net
