/// @file
/// The platform's key-value store, as the rest of the system sees it.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "catkintack/base/units.hpp"
#include "catkintack/config/config_error.hpp"

namespace catkintack::config {

/// @brief A value and the store's revision of it.
struct stored_value {
  std::string value;
  std::uint64_t revision = 0;  ///< Rises with every write of the key; 0 for a missing key.
};

/// @brief What became of a compare-and-swap whose answer arrived.
enum class swap_result {
  applied,   ///< The value was written.
  conflict,  ///< The key has another revision; nothing was written.
};

/// @brief A client of the store. Errors are config_error of kind store_unavailable (certainly
/// nothing was written) or write_unknown (the answer was lost).
class store {
 public:
  store() = default;
  store(const store&) = delete;
  store& operator=(const store&) = delete;
  store(store&&) = delete;
  store& operator=(store&&) = delete;
  virtual ~store() = default;

  /// @brief Reads a key.
  /// @param key The key.
  /// @return The value, with revision 0 and an empty text when the key is missing.
  virtual boost::leaf::result<stored_value> read(const std::string& key) = 0;

  /// @brief Writes a key if it still has the expected revision.
  /// @param key The key.
  /// @param expected_revision The revision last read; 0 for a missing key.
  /// @param value The new value, up to 1 MB.
  /// @return Whether it was written.
  virtual boost::leaf::result<swap_result> compare_and_swap(const std::string& key,
                                                            std::uint64_t expected_revision,
                                                            const std::string& value) = 0;

  /// @brief Waits for a key to pass a revision; one call of the store's budget.
  /// @param key The key.
  /// @param after_revision The revision already known.
  /// @param wait The longest wait, up to 60 s.
  /// @return The newer value, or nothing when the wait ended first.
  virtual boost::leaf::result<std::optional<stored_value>> watch(const std::string& key,
                                                                 std::uint64_t after_revision,
                                                                 base::duration wait) = 0;

  /// @brief Takes or renews a lease: a key that vanishes unless renewed.
  /// @param key The key.
  /// @param value The holder.
  /// @param time_to_live How long the key lives without renewal.
  /// @return Whether this holder has the lease.
  virtual boost::leaf::result<bool> hold_lease(const std::string& key,
                                               const std::string& value,
                                               base::duration time_to_live) = 0;
};

}  // namespace catkintack::config
