/// @file
/// The two lists that operators edit: plans and allowances.
#pragma once

#include <array>
#include <cstdint>

#include "catkintack/config/list_keys.hpp"

namespace catkintack::config {

/// @brief Identifies a list. The values are part of the protocol between hosts.
enum class list_kind : std::uint8_t { plans = 0, allowances = 1 };

inline constexpr std::size_t list_count = 2;
inline constexpr std::array<list_kind, list_count> all_lists = {list_kind::plans,
                                                                list_kind::allowances};

/// @brief Returns the index of a list, 0 or 1, in arrays with one element per list.
constexpr std::size_t index_of(list_kind kind) { return static_cast<std::size_t>(kind); }

/// @brief Returns the list's name, "plans" or "allowances".
constexpr const char* to_string(list_kind kind) {
  return kind == list_kind::plans ? "plans" : "allowances";
}

/// @brief Returns the key of a list in the store.
constexpr const char* key_of(list_kind kind) {
  return kind == list_kind::plans ? plans_key : allowances_key;
}

}  // namespace catkintack::config
