/// @file
/// Errors of the config layer.
#pragma once

#include <string>

namespace catkintack::config {

/// @brief Kind of a failure to parse, validate, read or write a list.
enum class config_error_kind {
  malformed_list,     ///< The text could not be parsed as a list.
  invalid_entry,      ///< An entry or the whole list violates a rule.
  store_unavailable,  ///< The store did not respond; nothing was written.
  write_unknown,      ///< A write was sent, but the response was lost.
  version_conflict,   ///< The list has changed since it was read.
};

/// @brief An error of the config layer.
struct config_error {
  config_error_kind kind = config_error_kind::malformed_list;
  std::string message;  ///< Names the entry or the store.
};

}  // namespace catkintack::config
