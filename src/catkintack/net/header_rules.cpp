#include "catkintack/net/header_rules.hpp"

#include <strings.h>

#include <algorithm>
#include <iterator>

namespace catkintack::net {

bool is_hop_by_hop(const std::string& name) {
  static constexpr const char* names[] = {
      "connection", "keep-alive", "transfer-encoding", "content-length", "upgrade",
      "trailer",    "te",         "proxy-connection"};
  return std::any_of(std::begin(names), std::end(names),
                     [&name](const char* one) { return strcasecmp(name.c_str(), one) == 0; });
}

}  // namespace catkintack::net
