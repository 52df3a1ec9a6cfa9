/// @file
/// Keys of the lists in the store.
#pragma once

namespace catkintack::config {

inline constexpr const char* plans_key = "catkintack/plans";
inline constexpr const char* allowances_key = "catkintack/allowances";

}  // namespace catkintack::config
