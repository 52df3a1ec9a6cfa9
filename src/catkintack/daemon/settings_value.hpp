/// @file
/// Readers of single values of a settings file.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "catkintack/base/units.hpp"
#include "catkintack/daemon/settings.hpp"

namespace catkintack::daemon {

/// Stores a value; returns what is allowed when the text is not.
using value_reader = std::function<std::optional<std::string>(const std::string&, settings&)>;

/// @brief Reads a name of letters, digits, '.', '_' and '-'.
/// @param store Where the name goes.
/// @return The reader.
value_reader name_value(std::function<void(settings&, std::string)> store);
/// @brief Reads "ip:port".
value_reader address_value(base::address settings::*field);
/// @brief Reads a span such as "250ms" within bounds.
value_reader duration_value(base::duration settings::*field,
                            base::duration least,
                            base::duration most);
/// @brief Reads a whole number within bounds.
value_reader count_value(std::uint32_t settings::*field, std::uint32_t least, std::uint32_t most);
/// @brief Reads a size such as "8MiB" within bounds.
value_reader size_value(std::uint64_t settings::*field, std::uint64_t least, std::uint64_t most);
/// @brief Reads a secret of 16 characters at least.
value_reader secret_value(std::string settings::*field);
/// @brief Reads a log level.
value_reader level_value();
/// @brief Reads "yes" or "no".
/// @param store Where the flag goes.
/// @return The reader.
value_reader flag_value(std::function<void(settings&, bool)> store);

}  // namespace catkintack::daemon
