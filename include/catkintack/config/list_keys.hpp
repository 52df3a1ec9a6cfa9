/// @file
/// Where the store keeps the lists.
#pragma once

namespace catkintack::config {

inline constexpr const char* plans_key = "catkintack/plans";
inline constexpr const char* allowances_key = "catkintack/allowances";

}  // namespace catkintack::config
