#include "catkintack/net/peer_stream.hpp"

#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <array>
#include <utility>

#include "catkintack/net/peer_codec.hpp"
#include "catkintack/net/socket_address.hpp"

namespace catkintack::net {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t nonce_bytes = 16;
constexpr std::size_t frame_length_bytes = 4;
constexpr std::uint32_t max_frame_bytes = 16U << 20U;
constexpr unsigned bits_per_byte = 8;

leaf::error_id error(net_error_kind kind, const std::string& message) {
  return leaf::new_error(net_error{kind, message});
}

void set_socket_timeout(int descriptor, base::duration timeout) {
  constexpr std::int64_t microseconds_per_second = 1'000'000;
  timeval value{};
  value.tv_sec = timeout.count() / microseconds_per_second;
  value.tv_usec = timeout.count() % microseconds_per_second;
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
}

void set_no_delay(int descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

leaf::result<void> write_all(int descriptor, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        ::send(descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
    if (count <= 0) {
      return error(net_error_kind::broken, "peer connection failed while sending");
    }
    written += static_cast<std::size_t>(count);
  }
  return {};
}

leaf::result<std::string> read_exactly(int descriptor, std::size_t size) {
  // Grows with the bytes that arrive, not with the length that the other side announces.
  constexpr std::size_t piece_bytes = 64U << 10U;
  std::string bytes;
  std::size_t read = 0;
  while (read < size) {
    bytes.resize(std::min(size, read + piece_bytes));
    const ssize_t count = ::recv(descriptor, bytes.data() + read, bytes.size() - read, 0);
    if (count <= 0) {
      return error(net_error_kind::broken, "peer connection failed while receiving");
    }
    read += static_cast<std::size_t>(count);
  }
  return bytes;
}

std::string encode_length(std::uint32_t length) {
  std::string bytes;
  for (std::size_t index = 0; index < frame_length_bytes; ++index) {
    bytes.push_back(static_cast<char>((length >> (bits_per_byte * index)) & 0xFFU));
  }
  return bytes;
}

std::uint32_t decode_length(const std::string& bytes) {
  std::uint32_t length = 0;
  for (std::size_t index = 0; index < frame_length_bytes; ++index) {
    const auto byte = static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[index]));
    length |= byte << (bits_per_byte * index);
  }
  return length;
}

}  // namespace

peer_stream::peer_stream(socket_handle socket, std::string key, std::string nonce, bool accepted)
    : socket_(std::move(socket)),
      key_(std::move(key)),
      nonce_(std::move(nonce)),
      accepted_(accepted) {}

leaf::result<peer_stream> peer_stream::connect(const base::address& to,
                                               std::string key,
                                               base::duration timeout) {
  socket_handle socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in target = to_socket_address(to);
  set_socket_timeout(socket.descriptor(), timeout);
  const auto* const generic = reinterpret_cast<const sockaddr*>(&target);
  if (!socket.valid() || ::connect(socket.descriptor(), generic, sizeof(target)) != 0) {
    return error(net_error_kind::unreachable, "peer " + base::to_string(to) + " is unreachable");
  }
  set_no_delay(socket.descriptor());
  auto nonce = read_exactly(socket.descriptor(), nonce_bytes);
  if (!nonce) {
    return error(net_error_kind::unreachable,
                 "peer " + base::to_string(to) + " did not send a nonce");
  }
  return peer_stream(std::move(socket), std::move(key), std::move(nonce.value()), false);
}

leaf::result<peer_stream> peer_stream::accept(socket_handle socket,
                                              std::string key,
                                              base::duration timeout) {
  set_socket_timeout(socket.descriptor(), timeout);
  set_no_delay(socket.descriptor());
  std::array<unsigned char, nonce_bytes> random{};
  RAND_bytes(random.data(), static_cast<int>(random.size()));
  std::string nonce(random.begin(), random.end());
  BOOST_LEAF_CHECK(write_all(socket.descriptor(), nonce));
  return peer_stream(std::move(socket), std::move(key), std::move(nonce), true);
}

std::string peer_stream::context(bool from_acceptor, std::uint64_t position) const {
  return nonce_ + (from_acceptor ? ">" : "<") + std::to_string(position);
}

leaf::result<void> peer_stream::send(const std::string& payload) {
  const std::string signed_bytes = sign_message(key_, context(accepted_, sent_++), payload);
  if (signed_bytes.size() > max_frame_bytes) {
    return error(net_error_kind::malformed, "peer message exceeds 16 MiB");
  }
  return write_all(socket_.descriptor(),
                   encode_length(static_cast<std::uint32_t>(signed_bytes.size())) + signed_bytes);
}

leaf::result<std::string> peer_stream::receive() {
  BOOST_LEAF_AUTO(prefix, read_exactly(socket_.descriptor(), frame_length_bytes));
  const std::uint32_t length = decode_length(prefix);
  if (length > max_frame_bytes) {
    return error(net_error_kind::malformed, "peer frame exceeds 16 MiB");
  }
  BOOST_LEAF_AUTO(signed_bytes, read_exactly(socket_.descriptor(), length));
  return verify_message(key_, context(!accepted_, received_++), signed_bytes);
}

void peer_stream::set_timeout(base::duration timeout) const {
  set_socket_timeout(socket_.descriptor(), timeout);
}

}  // namespace catkintack::net
