/// @file
/// Functions that parse and store single values of a settings file.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "catkintack/base/units.hpp"
#include "catkintack/daemon/settings.hpp"

namespace catkintack::daemon {

/// Parses a text and stores the value; returns a description of the allowed values when the text is
/// invalid.
using value_reader = std::function<std::optional<std::string>(const std::string&, settings&)>;

/// @brief Reads a name of letters, digits, '.', '_' and '-'.
/// @param setter Stores the name.
value_reader name_value(std::function<void(settings&, std::string)> setter);
/// @brief Reads "ip:port".
value_reader address_value(base::address settings::*field);
/// @brief Reads a duration such as "250ms" within bounds.
value_reader duration_value(base::duration settings::*field,
                            base::duration minimum,
                            base::duration maximum);
/// @brief Reads a whole number within bounds.
value_reader count_value(std::uint32_t settings::*field,
                         std::uint32_t minimum,
                         std::uint32_t maximum);
/// @brief Reads a size such as "8MiB" within bounds.
value_reader size_value(std::uint64_t settings::*field,
                        std::uint64_t minimum,
                        std::uint64_t maximum);
/// @brief Reads a secret of at least 16 characters.
value_reader secret_value(std::string settings::*field);
/// @brief Reads a log level.
value_reader level_value();
/// @brief Reads "yes" or "no".
/// @param setter Stores the flag.
value_reader flag_value(std::function<void(settings&, bool)> setter);

}  // namespace catkintack::daemon
