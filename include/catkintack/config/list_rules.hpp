/// @file
/// Rules that tie entries of the lists to each other and to the services.
#pragma once

#include <boost/leaf.hpp>
#include <set>
#include <string>

#include "catkintack/config/config_error.hpp"
#include "catkintack/config/list_document.hpp"

namespace catkintack::config {

/// @brief Checks that no key is used twice, that each customer's plan has an allowance, and that
/// each allowance that the edit adds or changes names a known service.
/// @param changed The list as it would be written; its last history record is the edit.
/// @param other The other list.
/// @param services The known services; empty when they cannot be learned.
/// @return Nothing, or a config_error naming the entry.
boost::leaf::result<void> check_rules(const list_document& changed,
                                      const list_document& other,
                                      const std::set<std::string>& services);

}  // namespace catkintack::config
