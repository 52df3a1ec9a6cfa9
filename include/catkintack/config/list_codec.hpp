/// @file
/// The JSON form in which the store keeps the lists.
#pragma once

#include <boost/leaf.hpp>
#include <string>

#include "catkintack/config/config_error.hpp"
#include "catkintack/config/list_body.hpp"
#include "catkintack/config/lists.hpp"

namespace catkintack::config {

/// @brief Writes the plans list as JSON.
/// @param list The list.
/// @return One JSON object.
std::string to_json(const plans_list& list);
/// @brief Writes the allowances list as JSON.
/// @param list The list.
/// @return One JSON object.
std::string to_json(const allowances_list& list);

/// @brief Reads and validates a plans list.
/// @param text The JSON text.
/// @return The list, or a config_error naming the first bad entry.
boost::leaf::result<plans_list> parse_plans(const std::string& text);
/// @brief Reads and validates an allowances list.
/// @param text The JSON text.
/// @return The list, or a config_error naming the first bad entry.
boost::leaf::result<allowances_list> parse_allowances(const std::string& text);

/// @brief Builds what traffic threads read.
/// @param plans A valid plans list; an empty text stands for none.
/// @param allowances A valid allowances list; an empty text stands for none.
/// @return The lists.
shared_lists make_lists(const list_body& plans, const list_body& allowances);

}  // namespace catkintack::config
