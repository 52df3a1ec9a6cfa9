/// @file
/// Datagrams between hosts.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "catkintack/base/address.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::control {

/// @brief A UDP socket that hands each datagram to a handler. Not thread-safe.
class datagram_channel {
 public:
  /// Called with the bytes of a datagram and the address of its sender.
  using handler = std::function<void(const std::string&, const base::address&)>;

  /// @param io Must outlive the channel.
  /// @param state Provides the log and metrics.
  /// @param name Begins the names of log events and metrics, such as "NAME_send_failed".
  datagram_channel(boost::asio::io_context& io, serving::traffic_state& state, std::string name);

  /// @brief Opens the socket and starts receiving.
  /// @return The error if the address cannot be used.
  boost::system::error_code open(const base::address& self, handler on_datagram);
  /// @brief Sends a datagram. A failure is logged; the receiver sees a lost datagram.
  void send(const std::string& bytes, const base::address& target);

 private:
  /// Larger than any valid datagram, whose ids have at most some hundred characters.
  static constexpr std::size_t max_datagram = 2048;

  boost::asio::awaitable<void> receive();

  serving::traffic_state& state_;
  std::string name_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer pause_;
  handler on_datagram_;
  std::array<char, max_datagram> buffer_{};
};

}  // namespace catkintack::control
