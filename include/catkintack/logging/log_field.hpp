/// @file
/// A field of a structured log line.
#pragma once

#include <concepts>
#include <string>
#include <string_view>
#include <utility>

namespace catkintack::logging {

/// @brief A field of a structured log line.
struct log_field {
  log_field(std::string_view field_name, std::string field_value)
      : name(field_name), value(std::move(field_value)) {}
  log_field(std::string_view field_name, const char* field_value)
      : name(field_name), value(field_value) {}
  log_field(std::string_view field_name, std::integral auto field_value)
      : name(field_name), value(std::to_string(field_value)) {}

  std::string_view name;  ///< Refers to a string literal.
  std::string value;
};

}  // namespace catkintack::logging
