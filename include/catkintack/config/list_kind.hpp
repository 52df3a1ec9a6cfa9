/// @file
/// Which of the operators' two lists.
#pragma once

#include <array>
#include <cstdint>

#include "catkintack/config/list_keys.hpp"

namespace catkintack::config {

/// @brief One of the two lists. The numbers are part of the protocol between hosts.
enum class list_kind : std::uint8_t { plans = 0, allowances = 1 };

inline constexpr std::size_t list_count = 2;
inline constexpr std::array<list_kind, list_count> all_lists = {list_kind::plans,
                                                                list_kind::allowances};

/// @brief The position of a list in arrays that hold one element for each.
/// @param kind The list.
/// @return 0 or 1.
constexpr std::size_t index_of(list_kind kind) { return static_cast<std::size_t>(kind); }

/// @brief The list's name.
/// @param kind The list.
/// @return "plans" or "allowances".
constexpr const char* to_string(list_kind kind) {
  return kind == list_kind::plans ? "plans" : "allowances";
}

/// @brief The store's key of a list.
/// @param kind The list.
/// @return The key.
constexpr const char* key_of(list_kind kind) {
  return kind == list_kind::plans ? plans_key : allowances_key;
}

}  // namespace catkintack::config
