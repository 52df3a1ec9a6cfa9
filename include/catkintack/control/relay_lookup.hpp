/// @file
/// Finds hosts that can serve calls for a host without links to the upstreams.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/control/datagram_channel.hpp"
#include "catkintack/control/trailing_field.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::control {

/// Version of the lookup's datagrams; hosts of version 1 or higher enforce the regions of residence
/// of relayed calls.
inline constexpr std::uint32_t relay_protocol_version = 1;

/// @brief A datagram of the lookup.
struct relay_message {
  bool is_query = false;
  bool available = false;                    ///< Of an answer: the sender can serve calls.
  base::region_id region{};                  ///< Of the sender.
  base::failure_domain_id failure_domain{};  ///< Of the sender.
  std::vector<std::string> other_hosts{};    ///< Of an answer: IPs of further hosts to ask.
  /// Of the sender's build; 0 if the message came without it.
  std::uint32_t protocol_version = relay_protocol_version;

  /// @brief Serializes with cereal. The version comes last, as older builds ignore it.
  template <class Archive>
  void save(Archive& archive) const {
    archive(is_query, available, region, failure_domain, other_hosts, protocol_version);
  }
  /// @brief Deserializes with cereal.
  template <class Archive>
  void load(Archive& archive) {
    archive(is_query, available, region, failure_domain, other_hosts);
    if (!load_trailing(archive, protocol_version)) {
      protocol_version = 0;
    }
  }
};

/// @brief Addresses and intervals of a relay lookup.
struct relay_lookup_options {
  /// Address of this host for datagrams and for relayed calls (TCP); all hosts use the same port.
  base::address self{};
  /// Hosts to begin with, such as seeds, publishers and subscribers; ports are ignored.
  std::function<std::vector<base::address>()> known_hosts = [] {
    return std::vector<base::address>();
  };
  std::size_t renewed_offers = 4;  ///< Hosts with an offer that are asked again in each round.
  std::size_t new_hosts = 8;       ///< Other hosts that are asked in each round.
  std::size_t named_hosts = 12;    ///< Hosts named in an answer.
  base::duration interval = std::chrono::milliseconds(250);  ///< Between rounds.
};

/// @brief Answers other hosts, and asks them while this host is isolated. Not thread-safe.
///
/// Hosts know only some others, so each answer names further ones; the lookup goes on until the
/// isolation ends.
class relay_lookup {
 public:
  /// @param io Must outlive the lookup.
  /// @param state Provides the isolation, relay hosts, log, metrics, clock and random source.
  relay_lookup(boost::asio::io_context& io,
               serving::traffic_state& state,
               relay_lookup_options options);

  /// @brief Opens the socket and starts the service.
  /// @return The error if the address cannot be used.
  boost::system::error_code open();
  /// @brief Called when this host may have become isolated.
  void wake();

 private:
  boost::asio::awaitable<void> run();
  void ask();
  void handle(const std::string& bytes, const base::address& sender);
  void add(const std::string& ip);
  relay_message describe_self() const;
  /// @brief Returns the regions to which the configuration restricts some calls.
  std::set<base::region_id> restricted_regions() const;

  serving::traffic_state& state_;
  relay_lookup_options options_;
  datagram_channel channel_;
  boost::asio::steady_timer timer_;
};

}  // namespace catkintack::control
