#include "catkintack/net/peer_codec.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace catkintack::net {
namespace {

constexpr std::size_t digest_size = 32;

std::string digest_of(const std::string& key,
                      const std::string& context,
                      const std::string& payload) {
  const std::string covered = std::to_string(context.size()) + ":" + context + payload;
  std::array<unsigned char, digest_size> digest{};
  unsigned int length = 0;
  // OpenSSL takes bytes as unsigned char; std::string holds them as char.
  const auto* const bytes = reinterpret_cast<const unsigned char*>(covered.data());
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, covered.size(), digest.data(),
       &length);
  return {digest.begin(), digest.end()};
}

}  // namespace

std::string seal(const std::string& key, const std::string& context, const std::string& payload) {
  return digest_of(key, context, payload) + payload;
}

boost::leaf::result<std::string> open_sealed(const std::string& key,
                                             const std::string& context,
                                             const std::string& sealed) {
  if (sealed.size() < digest_size) {
    return boost::leaf::new_error(
        net_error{net_error_kind::not_authentic, "a peer message is shorter than its digest"});
  }
  std::string payload = sealed.substr(digest_size);
  const std::string expected = digest_of(key, context, payload);
  if (CRYPTO_memcmp(expected.data(), sealed.data(), digest_size) != 0) {
    return boost::leaf::new_error(
        net_error{net_error_kind::not_authentic, "the digest of a peer message does not match"});
  }
  return payload;
}

}  // namespace catkintack::net
