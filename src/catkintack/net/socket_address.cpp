#include "catkintack/net/socket_address.hpp"

#include <arpa/inet.h>

namespace catkintack::net {

sockaddr_in to_socket_address(const base::address& value) {
  sockaddr_in converted{};
  converted.sin_family = AF_INET;
  converted.sin_port = htons(value.port);
  inet_pton(AF_INET, value.ip.c_str(), &converted.sin_addr);
  return converted;
}

}  // namespace catkintack::net
