#include "catkintack/net/peer_datagram_socket.hpp"

#include <sys/socket.h>

#include <utility>

#include "catkintack/net/peer_codec.hpp"
#include "catkintack/net/socket_address.hpp"

namespace catkintack::net {
namespace {

constexpr std::size_t max_datagram_bytes = 65'536;

// The socket API takes addresses of all families as sockaddr.
const sockaddr* to_generic_address(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace

boost::leaf::result<std::unique_ptr<peer_datagram_socket>>
peer_datagram_socket::open(const base::address& address, std::string key, receiver on_payload) {
  socket_handle socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  const sockaddr_in bound = to_socket_address(address);
  if (!socket.valid() ||
      ::bind(socket.descriptor(), to_generic_address(bound), sizeof(bound)) != 0) {
    return boost::leaf::new_error(net_error{net_error_kind::socket_failed,
                                            "cannot bind UDP address " + base::to_string(address)});
  }
  return std::unique_ptr<peer_datagram_socket>(
      new peer_datagram_socket(std::move(socket), std::move(key), std::move(on_payload)));
}

peer_datagram_socket::peer_datagram_socket(socket_handle socket,
                                           std::string key,
                                           receiver on_payload)
    : socket_(std::move(socket)),
      key_(std::move(key)),
      on_payload_(std::move(on_payload)),
      thread_([this] { receive(); }) {}

peer_datagram_socket::~peer_datagram_socket() {
  stopping_ = true;
  socket_.shut_down();
  thread_.join();
}

void peer_datagram_socket::send(const base::address& to, const std::string& payload) {
  const std::string signed_bytes = sign_message(key_, "", payload);
  const sockaddr_in target = to_socket_address(to);
  ::sendto(socket_.descriptor(), signed_bytes.data(), signed_bytes.size(), MSG_NOSIGNAL,
           to_generic_address(target), sizeof(target));
}

void peer_datagram_socket::receive() {
  std::string buffer(max_datagram_bytes, '\0');
  while (true) {
    const ssize_t length = ::recv(socket_.descriptor(), buffer.data(), buffer.size(), 0);
    if (stopping_) {
      return;
    }
    if (length <= 0) {
      continue;  // Empty datagram or interrupted call.
    }
    auto payload = verify_message(key_, "", buffer.substr(0, static_cast<std::size_t>(length)));
    if (payload) {
      on_payload_(std::move(payload.value()));
    }
  }
}

}  // namespace catkintack::net
