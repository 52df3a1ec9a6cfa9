/// @file
/// Checks references between the lists, and from the lists to services.
#pragma once

#include <boost/leaf.hpp>
#include <set>
#include <string>

#include "catkintack/config/config_error.hpp"
#include "catkintack/config/list_document.hpp"

namespace catkintack::config {

/// @brief Checks that no two customers have the same key, that each customer's plan that the edit
/// affects has an allowance, and that each allowance that the edit adds or changes names a known
/// service.
/// @param changed The list as it would be written; its last history record is the edit.
/// @param other The other list.
/// @param services The known services; empty when they could not be determined, which skips the
/// check of services.
/// @return A config_error that names the entry, if a check fails.
boost::leaf::result<void> check_rules(const list_document& changed,
                                      const list_document& other,
                                      const std::set<std::string>& services);

}  // namespace catkintack::config
