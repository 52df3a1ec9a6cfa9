/// @file
/// Hashing of customers' keys.
#pragma once

#include <string>

namespace catkintack::config {

/// @brief Hashes a customer's key.
/// @param key The key as sent by the caller.
/// @return SHA-256, 64 lower-case hexadecimal digits.
std::string hash_key(const std::string& key);

}  // namespace catkintack::config
