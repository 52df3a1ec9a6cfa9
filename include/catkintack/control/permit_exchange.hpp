/// @file
/// Divides the limits that upstreams name among all hosts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/control/datagram_channel.hpp"
#include "catkintack/control/permit_message.hpp"
#include "catkintack/limits/send_reservations.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::control {

/// @brief Addresses and shares of a permit exchange.
struct permit_exchange_options {
  base::address self{};  ///< UDP address of this host.
  /// UDP addresses of the authorities, the same on all hosts.
  std::vector<base::address> authorities{};
  /// Fraction of its part that this host gives out as an authority. Below 1 while hosts may get
  /// permits from another host that takes itself for the same authority.
  std::function<double()> usable_share = [] { return 1.0; };
};

/// @brief Requests permits for this host, and gives them out where this host is an authority. Not
/// thread-safe.
///
/// Each authority gives out an equal, fixed part of a limit. So no authority has to know of another
/// or of the other hosts, and all together never exceed the limit; the part of an authority that is
/// down is not used.
class permit_exchange {
 public:
  /// @param io Must outlive the exchange.
  /// @param state Provides the limits, permits, directory, log, metrics and clock.
  permit_exchange(boost::asio::io_context& io,
                  serving::traffic_state& state,
                  permit_exchange_options options);

  /// @brief Opens the socket and starts receiving.
  /// @return The error if the address cannot be used.
  boost::system::error_code open();
  /// @brief Replaces the authorities. Hosts must agree on them, as each gives out its part without
  /// asking the others.
  void set_authorities(std::vector<base::address> authorities);
  /// @brief Requests a permit unless one is in hand or was requested.
  void request(const base::upstream_id& upstream);
  /// @brief Tells all authorities what this host knows about the limit of an upstream.
  void report(const base::upstream_id& upstream);
  const base::address& self() const { return options_.self; }

 private:
  void receive(const std::string& bytes, const base::address& sender);
  void handle(const permit_message& message, const base::address& from);
  permit_message answer(const permit_message& request, const std::string& host);
  void apply_reply(const permit_message& reply, std::size_t authority);
  void send(const permit_message& message, const base::address& target);
  bool is_authority() const;

  serving::traffic_state& state_;
  permit_exchange_options options_;
  datagram_channel channel_;
  limits::send_reservations reservations_;
};

}  // namespace catkintack::control
