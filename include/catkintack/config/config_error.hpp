/// @file
/// Errors of the config layer.
#pragma once

#include <string>

namespace catkintack::config {

/// @brief What went wrong with a list or the store holding it.
enum class config_error_kind {
  malformed_list,     ///< The text is no list.
  invalid_entry,      ///< An entry breaks a rule.
  store_unavailable,  ///< The store gave no answer; nothing was written.
  write_unknown,      ///< A write was sent and its answer was lost.
  version_conflict,   ///< The list has changed since it was read.
};

/// @brief An error of the config layer.
struct config_error {
  config_error_kind kind = config_error_kind::malformed_list;
  std::string message;  ///< Names the entry or the store.
};

}  // namespace catkintack::config
