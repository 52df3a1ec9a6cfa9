#include "catkintack/daemon/header_masking.hpp"

#include <httplib.h>

#include <cstring>
#include <utility>
#include <vector>

namespace catkintack::daemon {
namespace {

constexpr const char* masked_headers[] = {"Content-Type", "Content-Encoding", "Accept-Encoding"};
constexpr const char* masked_prefix = "Catkintack-Hidden-";

}  // namespace

void mask_headers(const httplib::Request& request) {
  auto& own = const_cast<httplib::Request&>(request);  // The library offers no other hook.
  own.ranges.clear();
  for (const char* const name : masked_headers) {
    const auto [first, last] = own.headers.equal_range(name);
    std::vector<std::string> values;
    for (auto header = first; header != last; ++header) {
      values.push_back(header->second);
    }
    own.headers.erase(name);
    for (std::string& value : values) {
      own.headers.emplace(std::string(masked_prefix) + name, std::move(value));
    }
  }
}

std::string unmasked_name(const std::string& name) {
  return name.rfind(masked_prefix, 0) == 0 ? name.substr(std::strlen(masked_prefix)) : name;
}

}  // namespace catkintack::daemon
