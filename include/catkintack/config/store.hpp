/// @file
/// Interface to the platform's key-value store.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "catkintack/base/units.hpp"
#include "catkintack/config/config_error.hpp"

namespace catkintack::config {

/// @brief A value and its revision in the store.
struct stored_value {
  std::string value;
  std::uint64_t revision = 0;  ///< Increases with every write of the key; 0 for a missing key.
};

/// @brief Result of a compare-and-swap that the store responded to.
enum class swap_result {
  applied,   ///< The value was written.
  conflict,  ///< The key has a different revision; nothing was written.
};

/// @brief Client of the store. Errors are config_error values of kind store_unavailable (certainly
/// nothing was written) or write_unknown (the response was lost).
class store {
 public:
  store() = default;
  store(const store&) = delete;
  store& operator=(const store&) = delete;
  store(store&&) = delete;
  store& operator=(store&&) = delete;
  virtual ~store() = default;

  /// @brief Reads a key.
  /// @return The value; empty and with revision 0 when the key is missing.
  virtual boost::leaf::result<stored_value> read(const std::string& key) = 0;

  /// @brief Writes a key if it still has the expected revision.
  /// @param expected_revision The revision last read; 0 for a missing key.
  /// @param value The new value, up to 1 MB.
  virtual boost::leaf::result<swap_result> compare_and_swap(const std::string& key,
                                                            std::uint64_t expected_revision,
                                                            const std::string& value) = 0;

  /// @brief Waits until a key has a newer revision. Counts as one call in the store's call budget.
  /// @param after_revision The last known revision.
  /// @param wait The timeout, up to 60 s.
  /// @return The newer value, or nothing on a timeout.
  virtual boost::leaf::result<std::optional<stored_value>> watch(const std::string& key,
                                                                 std::uint64_t after_revision,
                                                                 base::duration wait) = 0;

  /// @brief Acquires or renews a lease, which is a key that the store deletes unless it is renewed.
  /// @param value The name of the lease holder.
  /// @param time_to_live Time until the key is deleted if it is not renewed.
  /// @return Whether this holder has the lease.
  virtual boost::leaf::result<bool> hold_lease(const std::string& key,
                                               const std::string& value,
                                               base::duration time_to_live) = 0;
};

}  // namespace catkintack::config
