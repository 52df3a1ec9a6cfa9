#include "catkintack/net/peer_server.hpp"

#include <sys/socket.h>

#include <utility>

#include "catkintack/net/peer_codec.hpp"
#include "catkintack/net/peer_stream.hpp"
#include "catkintack/net/socket_address.hpp"

namespace catkintack::net {
namespace {

constexpr int listen_backlog = 512;
constexpr base::duration idle_timeout = std::chrono::seconds(120);

}  // namespace

struct peer_server::connection {
  socket_handle accepted;
  std::atomic<int> descriptor = -1;  // For a shutdown while the thread reads.
  std::atomic<bool> ended = false;
  std::thread thread;
};

boost::leaf::result<std::unique_ptr<peer_server>> peer_server::open(peer_server_options options,
                                                                    peer_handler handler) {
  socket_handle socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in bound = to_socket_address(options.listen_address);
  const auto* const generic = reinterpret_cast<const sockaddr*>(&bound);
  if (!socket.valid() || ::bind(socket.descriptor(), generic, sizeof(bound)) != 0 ||
      ::listen(socket.descriptor(), listen_backlog) != 0) {
    return boost::leaf::new_error(
        net_error{net_error_kind::socket_failed,
                  "cannot listen on TCP address " + base::to_string(options.listen_address)});
  }
  return std::unique_ptr<peer_server>(
      new peer_server(std::move(socket), std::move(options), std::move(handler)));
}

peer_server::peer_server(socket_handle socket, peer_server_options options, peer_handler handler)
    : socket_(std::move(socket)),
      options_(std::move(options)),
      handler_(std::move(handler)),
      thread_([this] { accept_connections(); }) {}

peer_server::~peer_server() {
  stopping_ = true;
  socket_.shut_down();
  thread_.join();
  for (const auto& open : connections_) {
    ::shutdown(open->descriptor, SHUT_RDWR);
  }
  for (const auto& open : connections_) {
    open->thread.join();
  }
}

void peer_server::accept_connections() {
  while (!stopping_) {
    socket_handle accepted(::accept4(socket_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
    if (stopping_) {
      return;
    }
    if (!accepted.valid()) {
      std::this_thread::yield();
      continue;
    }
    join_finished_connections();
    if (connections_.size() >= options_.max_connections) {
      continue;
    }
    auto opened = std::make_unique<connection>();
    opened->descriptor = accepted.descriptor();
    opened->accepted = std::move(accepted);
    connection& self = *opened;
    connections_.push_back(std::move(opened));
    self.thread = std::thread([this, &self] { serve(self); });
  }
}

void peer_server::join_finished_connections() {
  for (auto open = connections_.begin(); open != connections_.end();) {
    if ((*open)->ended) {
      (*open)->thread.join();
      open = connections_.erase(open);
    } else {
      ++open;
    }
  }
}

void peer_server::serve(connection& self) {
  auto stream = peer_stream::accept(std::move(self.accepted), options_.key, idle_timeout);
  while (stream && !stopping_) {
    const auto bytes = stream.value().receive();
    if (!bytes) {
      break;
    }
    const auto request = decode<peer_request>(bytes.value());
    if (!request) {
      break;
    }
    if (!stream.value().send(encode(handler_(request.value())))) {
      break;
    }
  }
  // Once the stream is closed, its descriptor number may belong to another socket, which must not
  // be shut down.
  self.descriptor = -1;
  self.ended = true;
}

}  // namespace catkintack::net
