/// @file
/// Keeps the caps of customers over all hosts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/control/datagram_channel.hpp"
#include "catkintack/control/quota_message.hpp"
#include "catkintack/control/quota_record.hpp"
#include "catkintack/limits/quota_authorities.hpp"
#include "catkintack/limits/quota_client.hpp"
#include "catkintack/limits/quota_pool.hpp"
#include "catkintack/serving/quota_decision.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::control {

/// @brief Addresses and bounds of a quota exchange.
struct quota_exchange_options {
  base::address self{};  ///< UDP address of this host.
  limits::quota_bounds bounds{};
  /// Pause between queries of the seeds while no authorities are known.
  base::duration first_query_interval = std::chrono::milliseconds(100);
  /// The same while a known authority is unreachable.
  base::duration query_interval = std::chrono::seconds(1);
};

/// @brief Requests tokens for the calls of this host, and gives them out where this host is an
/// authority. Not thread-safe.
///
/// Hosts exchange the authorities that they have received, and keep the latest. The registry
/// decides which these are, see quota_keeper; a host's seeds are only where it asks for them.
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

  /// @brief Sets the UDP addresses of the hosts to ask for the authorities.
  void set_seeds(std::vector<base::address> seeds) { seeds_ = std::move(seeds); }
  const std::vector<base::address>& seeds() const { return seeds_; }
  /// @brief Uses a record if its authorities are later than the known ones.
  void adopt(const quota_record& record);
  /// @brief Returns the latest authorities that this host has received; epoch 0 if there are none.
  const limits::quota_authorities& authorities() const { return authorities_; }
  /// @brief Sets a hook that is called after the authorities have changed.
  void on_authorities_changed(std::function<void()> hook) {
    on_authorities_changed_ = std::move(hook);
  }
  /// @brief Returns the fraction of its slot that this host may give out as an authority: what is
  /// not reserved for hosts that another holder of the slot may serve.
  double usable_share();
  /// @brief Whether the holder of a slot has not replied for several heartbeats.
  bool is_unreachable(std::size_t slot) const { return client_.is_unreachable(slot); }
  /// @brief Returns the number of hosts that use this host's slot; nothing if it holds none.
  std::optional<std::uint32_t> counted_hosts() const;
  const base::address& self() const { return options_.self; }

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
  bool is_authority() const { return pool_ != nullptr; }
  void start_or_end_slot(bool knew_others, std::uint32_t recorded_hosts);
  void query_seeds();
  void send_authorities(const base::address& host);
  void receive_authorities(const quota_message& message, const base::address& sender);
  void compare_epochs(const quota_message& message, const base::address& sender);

  serving::traffic_state& state_;
  quota_exchange_options options_;
  boost::asio::io_context& io_;
  datagram_channel channel_;
  limits::quota_client client_;
  std::unique_ptr<limits::quota_pool> pool_;  ///< Set while this host holds a slot.
  limits::quota_authorities authorities_;
  std::uint32_t recorded_hosts_ = 0;  ///< Of the newest record.
  std::function<void()> on_authorities_changed_ = [] {};
  std::vector<base::address> seeds_;
  base::instant queried_at_ = base::instant::min();
  std::set<base::address> askers_;  ///< Hosts whose queries could not be answered yet.
  boost::asio::steady_timer timer_;
  /// Timers of the calls that wait for a token.
  std::multimap<base::customer_id, boost::asio::steady_timer*> waiting_;
  bool was_detached_ = false;
  std::size_t logged_missing_ = 0;
  base::instant missing_logged_at_ = base::instant::min();
  std::uint64_t counted_expired_ = 0;
};

}  // namespace catkintack::control
