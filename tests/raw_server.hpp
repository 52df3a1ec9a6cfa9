/// @file
/// A TCP server for tests that responds with arbitrary bytes.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/net/socket.hpp"

namespace catkintack::tests {

/// @brief Serves each connection on its own thread until no further request head can be read.
class raw_server {
 public:
  /// Responds to one request on a connection; returning false closes the connection.
  using responder = std::function<bool(int descriptor)>;

  explicit raw_server(responder respond) : respond_(std::move(respond)) {
    listening_ = net::socket_handle(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(bound);
    // Errors are not checked: they appear as a test that cannot connect.
    (void)::bind(listening_.descriptor(), reinterpret_cast<const sockaddr*>(&bound), size);
    (void)::listen(listening_.descriptor(), 64);
    (void)::getsockname(listening_.descriptor(), reinterpret_cast<sockaddr*>(&bound), &size);
    address_ = {"127.0.0.1", ntohs(bound.sin_port)};
    thread_ = std::thread([this] { accept_all(); });
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;
  raw_server(raw_server&&) = delete;
  raw_server& operator=(raw_server&&) = delete;
  ~raw_server() {
    stopping_ = true;
    listening_.shut_down();
    thread_.join();
    for (const net::socket_handle& accepted : accepted_) {
      accepted.shut_down();
    }
    for (std::thread& connection_thread : connection_threads_) {
      connection_thread.join();
    }
  }

  const base::address& address() const { return address_; }
  int connections() const { return connections_; }

  /// @brief Sends bytes unchanged.
  /// @return False if the connection is closed.
  static bool send(int descriptor, const std::string& bytes) {
    return bytes.empty() || ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
  }

 private:
  void accept_all() {
    while (!stopping_) {
      net::socket_handle accepted(
          ::accept4(listening_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
      if (!accepted.valid()) {
        continue;
      }
      ++connections_;
      const int descriptor = accepted.descriptor();
      accepted_.push_back(std::move(accepted));
      connection_threads_.emplace_back([this, descriptor] { serve(descriptor); });
    }
  }

  void serve(int descriptor) {
    while (read_request_head(descriptor) && respond_(descriptor)) {
    }
    ::shutdown(descriptor, SHUT_RDWR);
  }

  static bool read_request_head(int descriptor) {
    std::string head;
    char byte = 0;
    while (head.find("\r\n\r\n") == std::string::npos) {
      if (::recv(descriptor, &byte, 1, 0) <= 0) {
        return false;
      }
      head += byte;
    }
    return true;
  }

  responder respond_;
  net::socket_handle listening_;
  base::address address_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> connections_ = 0;
  std::vector<net::socket_handle> accepted_;
  std::vector<std::thread> connection_threads_;
  std::thread thread_;
};

}  // namespace catkintack::tests
