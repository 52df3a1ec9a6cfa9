/// @file
/// Fields that later builds added at the end of a message.
#pragma once

#include <cereal/cereal.hpp>

namespace catkintack::control {

/// @brief Loads a field that messages of older builds end before.
/// @return Whether the field was there; otherwise it is left in an unspecified state.
template <class Archive, class Field>
bool load_trailing(Archive& archive, Field& field) {
  try {
    archive(field);
    return true;
  } catch (const cereal::Exception&) {
    return false;
  }
}

}  // namespace catkintack::control
