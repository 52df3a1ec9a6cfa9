/// @file
/// Keeps the caps of customers over all hosts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/control/datagram_channel.hpp"
#include "catkintack/control/quota_message.hpp"
#include "catkintack/limits/quota_client.hpp"
#include "catkintack/limits/quota_pool.hpp"
#include "catkintack/serving/quota_decision.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::control {

/// @brief Addresses and bounds of a quota exchange.
struct quota_exchange_options {
  base::address self{};  ///< UDP address of this host.
  /// UDP addresses of the authorities, the same on all hosts.
  std::vector<base::address> authorities{};
  limits::quota_bounds bounds{};
};

/// @brief Requests tokens for the calls of this host, and gives them out where this host is an
/// authority. Not thread-safe.
class quota_exchange {
 public:
  /// @param io Must outlive the exchange.
  /// @param state Provides the route table, log, metrics, clock and random source.
  quota_exchange(boost::asio::io_context& io,
                 serving::traffic_state& state,
                 quota_exchange_options options);

  /// @brief Opens the socket and starts the service.
  /// @return The error if the address cannot be used.
  boost::system::error_code open();
  /// @brief Decides whether a call may run; waits for the authorities for at most 0.25 s.
  boost::asio::awaitable<serving::quota_decision> admit(const routes::customer_policy& customer);
  /// @brief Sends what is due and logs changes. Called every 50 ms by the service.
  void maintain();
  /// @brief Tells the authorities that this host stops and will not use its share.
  void leave();
  bool detached() const { return client_.detached(state_.clock()); }

 private:
  boost::asio::awaitable<void> run();
  void advance(const base::customer_id& customer);
  bool send_to_authority(quota_message message, std::size_t authority);
  void receive(const std::string& bytes, const base::address& sender);
  quota_message answer(const quota_message& message, const base::address& host);
  void apply_reply(const quota_message& reply, std::size_t authority);
  void handle_reply(const quota_message& reply, const base::address& from);
  serving::quota_decision decide(const base::customer_id& customer,
                                 const limits::quota_verdict& verdict);
  void log_refused_message(const base::address& host, const char* why);
  void log_attachment();
  void log_reservation();
  bool is_authority() const;

  serving::traffic_state& state_;
  quota_exchange_options options_;
  boost::asio::io_context& io_;
  datagram_channel channel_;
  limits::quota_client client_;
  limits::quota_pool pool_;
  boost::asio::steady_timer timer_;
  /// Timers of the calls that wait for a token.
  std::multimap<base::customer_id, boost::asio::steady_timer*> waiting_;
  bool was_detached_ = false;
  std::size_t logged_missing_ = 0;
  base::instant missing_logged_at_ = base::instant::min();
  std::uint64_t counted_expired_ = 0;
};

}  // namespace catkintack::control
