/// @file
/// Appoints the authorities for the caps of customers.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "catkintack/control/quota_exchange.hpp"
#include "catkintack/control/quota_record.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::control {

/// @brief Input of appoint_authorities.
struct appointment_request {
  const limits::quota_authorities& current;         ///< Epoch 0: there are none yet.
  const base::address& self;                        ///< The host that would change the authorities.
  const std::vector<base::address>& seeds;          ///< In the order of its settings.
  std::function<bool(std::size_t)> is_unreachable;  ///< By slot of `current`.
};

/// @brief Returns the authorities that a host should write to the registry.
///
/// The first ones are the first three seeds. Later a seed takes the slot of a holder that is
/// unreachable and no seed any more. A holder that answers keeps its slot whatever the settings
/// say, so that hosts with different seeds have the same authorities.
/// @return Nothing if the authorities should stay as they are, or others should change them.
std::optional<limits::quota_authorities> appoint_authorities(const appointment_request& request);

/// @brief Times of a quota_keeper.
struct quota_keeper_options {
  base::duration interval = std::chrono::milliseconds(250);  ///< Between checks.
  /// A host that is no seed reads the registry if no seed has named the authorities for so long.
  base::duration patience = std::chrono::seconds(2);
  /// Shortest time between two changes of the recorded number of hosts; it is larger when the
  /// number falls.
  base::duration min_count_interval = std::chrono::seconds(2);
  base::duration initial_backoff = std::chrono::milliseconds(200);  ///< After a failed call.
  base::duration max_backoff = std::chrono::seconds(2);
};

/// @brief Reads the authorities from the registry where no other host names them, and changes them
/// there by conditional writes. Not thread-safe.
class quota_keeper {
 public:
  /// @param state Provides the route table, log, metrics, clock and random source.
  /// @param exchange Must outlive the keeper.
  quota_keeper(const boost::asio::any_io_executor& executor,
               serving::traffic_state& state,
               quota_exchange& exchange,
               quota_registry_hooks registry,
               quota_keeper_options options = {});

  /// @brief Runs for the life of the process.
  boost::asio::awaitable<void> run();
  /// @brief Makes the calls that are due now.
  /// @return Whether the registry answered them.
  boost::asio::awaitable<bool> check();

 private:
  std::optional<limits::quota_authorities> appointment(
      const limits::quota_authorities& current) const;
  bool has_customers() const;
  bool is_seed() const;
  bool must_read() const;
  bool is_count_due();
  boost::asio::awaitable<bool> read();
  boost::asio::awaitable<bool> write(quota_record record, const char* purpose);

  serving::traffic_state& state_;
  quota_exchange& exchange_;
  quota_registry_hooks registry_;
  quota_keeper_options options_;
  boost::asio::steady_timer timer_;
  std::optional<quota_record> known_;          ///< The entry at the last answer of the registry.
  std::optional<base::instant> wanted_since_;  ///< Since when this host lacks the authorities.
  std::optional<base::instant> count_due_since_;
  std::string last_failure_;  ///< Why the last call failed, for the log.
};

}  // namespace catkintack::control
