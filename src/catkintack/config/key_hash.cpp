#include "catkintack/config/key_hash.hpp"

#include <openssl/evp.h>

#include <array>

namespace catkintack::config {

std::string hash_key(const std::string& key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr);
  static constexpr const char* digits = "0123456789abcdef";
  constexpr unsigned nibble_bits = 4;
  constexpr unsigned nibble_mask = 0xF;
  std::string text;
  for (unsigned int index = 0; index < length; ++index) {
    text += digits[digest[index] >> nibble_bits];
    text += digits[digest[index] & nibble_mask];
  }
  return text;
}

}  // namespace catkintack::config
