/// @file
/// A list's text with the stamp that it carries.
#pragma once

#include <memory>
#include <string>

#include "catkintack/config/list_stamp.hpp"

namespace catkintack::config {

/// @brief A list as the store holds it. The text is empty while the store has none.
struct list_body {
  list_kind kind = list_kind::plans;
  list_stamp stamp;
  std::string text;
};

/// A body shared between the control thread and those that send it to peers.
using shared_body = std::shared_ptr<const list_body>;

}  // namespace catkintack::config
