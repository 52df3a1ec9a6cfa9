#include "catkintack/net/peer_codec.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace catkintack::net {
namespace {

constexpr std::size_t mac_size_bytes = 32;

std::string compute_mac(const std::string& key,
                        const std::string& context,
                        const std::string& payload) {
  const std::string covered = std::to_string(context.size()) + ":" + context + payload;
  std::array<unsigned char, mac_size_bytes> digest{};
  unsigned int length = 0;
  // OpenSSL expects unsigned char, std::string holds char.
  const auto* const bytes = reinterpret_cast<const unsigned char*>(covered.data());
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, covered.size(), digest.data(),
       &length);
  return {digest.begin(), digest.end()};
}

}  // namespace

std::string sign_message(const std::string& key,
                         const std::string& context,
                         const std::string& payload) {
  return compute_mac(key, context, payload) + payload;
}

boost::leaf::result<std::string> verify_message(const std::string& key,
                                                const std::string& context,
                                                const std::string& signed_bytes) {
  if (signed_bytes.size() < mac_size_bytes) {
    return boost::leaf::new_error(net_error{net_error_kind::not_authentic,
                                            "peer message truncated: it is shorter than its HMAC"});
  }
  std::string payload = signed_bytes.substr(mac_size_bytes);
  const std::string expected = compute_mac(key, context, payload);
  if (CRYPTO_memcmp(expected.data(), signed_bytes.data(), mac_size_bytes) != 0) {
    return boost::leaf::new_error(
        net_error{net_error_kind::not_authentic, "HMAC of a peer message does not match"});
  }
  return payload;
}

}  // namespace catkintack::net
