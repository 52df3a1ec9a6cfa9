/// @file
/// A list's text with its stamp.
#pragma once

#include <memory>
#include <string>

#include "catkintack/config/list_stamp.hpp"

namespace catkintack::config {

/// @brief A list as kept in the store. The text is empty if the list was never written.
struct list_body {
  list_kind kind = list_kind::plans;
  list_stamp stamp;
  std::string text;
};

/// A body shared between the control thread and the threads that send it to peers.
using shared_body = std::shared_ptr<const list_body>;

}  // namespace catkintack::config
