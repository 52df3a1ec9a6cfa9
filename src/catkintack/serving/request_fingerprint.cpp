#include "catkintack/serving/request_fingerprint.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <memory>
#include <string_view>

namespace catkintack::serving {
namespace {

struct free_state {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

/// @brief Adds a part with its length, so that parts cannot be shifted into each other.
void add(XXH3_state_t& hash, std::string_view part) {
  const std::uint64_t size = part.size();
  XXH3_128bits_update(&hash, &size, sizeof(size));
  XXH3_128bits_update(&hash, part.data(), part.size());
}

}  // namespace

base::request_fingerprint fingerprint_of(const call& received) {
  const std::unique_ptr<XXH3_state_t, free_state> hash(XXH3_createState());
  XXH3_128bits_reset(hash.get());
  add(*hash, received.method);
  add(*hash, to_string_view(received.headers[http::field::host]));
  add(*hash, received.target);
  // The fingerprint is sent to other hosts and stored, so that it must not depend on a key.
  add(*hash, received.has_customer_rules
                 ? std::string_view(received.customer.value())
                 : to_string_view(received.headers[http::field::authorization]));
  add(*hash, std::to_string(received.body_length.value_or(0)));
  add(*hash, received.body);
  const XXH128_hash_t digest = XXH3_128bits_digest(hash.get());
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(digest.high64),
                static_cast<unsigned long long>(digest.low64));
  return base::request_fingerprint(text.data());
}

}  // namespace catkintack::serving
