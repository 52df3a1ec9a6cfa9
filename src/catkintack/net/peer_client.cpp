#include "catkintack/net/peer_client.hpp"

#include <sys/socket.h>

#include <utility>

#include "catkintack/net/peer_codec.hpp"

namespace catkintack::net {
namespace {

constexpr std::size_t max_idle_connections_per_peer = 16;

bool is_closed_by_peer(const peer_stream& stream) {
  char byte = 0;
  const ssize_t count =
      ::recv(stream.socket().descriptor(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  // An idle stream must have no unread bytes: data is as bad as a closed connection.
  return count >= 0;
}

}  // namespace

peer_client::peer_client(std::string key) : key_(std::move(key)) {}

boost::leaf::result<peer_stream> peer_client::acquire(const base::address& to,
                                                      base::duration timeout) {
  {
    const std::lock_guard lock(mutex_);
    std::vector<peer_stream>& pool = idle_[to];
    while (!pool.empty()) {
      peer_stream stream = std::move(pool.back());
      pool.pop_back();
      if (!is_closed_by_peer(stream)) {
        stream.set_timeout(timeout);
        return stream;
      }
    }
  }
  return peer_stream::connect(to, key_, timeout);
}

void peer_client::release(const base::address& to, peer_stream stream) {
  const std::lock_guard lock(mutex_);
  std::vector<peer_stream>& pool = idle_[to];
  if (pool.size() < max_idle_connections_per_peer) {
    pool.push_back(std::move(stream));
  }
}

boost::leaf::result<peer_response> peer_client::call(const base::address& to,
                                                     const peer_request& request,
                                                     base::duration timeout) {
  BOOST_LEAF_AUTO(stream, acquire(to, timeout));
  BOOST_LEAF_CHECK(stream.send(encode(request)));
  BOOST_LEAF_AUTO(bytes, stream.receive());
  BOOST_LEAF_AUTO(response, decode<peer_response>(bytes));
  release(to, std::move(stream));
  return response;
}

}  // namespace catkintack::net
