/// @file
/// Converts the lists to and from the JSON kept in the store.
#pragma once

#include <boost/leaf.hpp>
#include <string>

#include "catkintack/config/config_error.hpp"
#include "catkintack/config/list_body.hpp"
#include "catkintack/config/lists.hpp"

namespace catkintack::config {

/// @brief Serializes a plans list as one JSON object.
std::string to_json(const plans_list& list);
/// @brief Serializes an allowances list as one JSON object.
std::string to_json(const allowances_list& list);

/// @brief Parses and validates a plans list.
/// @return The list, or a config_error that names the first invalid entry.
boost::leaf::result<plans_list> parse_plans(const std::string& text);
/// @brief Parses and validates an allowances list.
/// @return The list, or a config_error that names the first invalid entry.
boost::leaf::result<allowances_list> parse_allowances(const std::string& text);

/// @brief Builds the lists that traffic threads read.
/// @param plans A valid plans list; an empty text gives an empty list.
/// @param allowances A valid allowances list; an empty text gives an empty list.
shared_lists make_lists(const list_body& plans, const list_body& allowances);

}  // namespace catkintack::config
