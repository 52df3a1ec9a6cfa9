/// @file
/// Hosts that can serve calls for this one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/base/hooks.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/choice/residence.hpp"

namespace catkintack::choice {

/// @brief What a host says about itself.
struct relay_offer {
  bool available = false;  ///< It reaches upstreams and does not stop.
  base::region_id region{};
  base::failure_domain_id failure_domain{};
  std::uint32_t protocol_version = 0;  ///< Of the host's build; 0 does not enforce residence.
};

/// @brief Parameters of a table of relay hosts.
struct relay_host_options {
  base::region_id region{};
  base::failure_domain_id failure_domain{};
  /// An offer older than this does not count.
  base::duration offer_lifetime = std::chrono::milliseconds(1500);
  /// How long a host that failed a call is not used.
  base::duration failure_pause = std::chrono::milliseconds(500);
  std::size_t max_hosts = 600;
};

/// @brief Other hosts, their latest offers and how they fared. Not thread-safe.
class relay_hosts {
 public:
  /// Number of calls in progress at a host.
  using load_hook = std::function<std::size_t(const base::address&)>;

  explicit relay_hosts(relay_host_options options) : options_(std::move(options)) {}

  /// @brief Adds a host about which nothing is known yet, unless the table is full.
  void add(const base::address& host);
  /// @brief Records the offer of a host.
  void on_offer(const base::address& host, const relay_offer& offer, base::instant now);
  /// @brief Records that a host cannot serve calls at present; it is not used before its next
  /// offer.
  void on_refusal(const base::address& host);
  /// @brief Records that a host failed a call.
  void on_failure(const base::address& host, base::instant now);
  /// @brief Records that a host served a call, which renews its offer.
  void on_success(const base::address& host, base::instant now);

  /// @brief Chooses a host for a call: near ones first, and of two of these the one with less to
  /// do.
  /// @param tried Hosts that are excluded.
  /// @param allowed Regions that may serve the call. A restricted call needs a host in one of them
  /// whose build enforces residence by its latest offer; a success does not renew that, as the
  /// host may have been replaced by one of an older build.
  /// @return Nothing if no host has a valid offer.
  std::optional<base::address> choose(base::instant now,
                                      const std::set<base::address>& tried,
                                      const load_hook& load,
                                      const base::random_hook& random,
                                      const residence& allowed = {}) const;
  /// @brief Returns hosts to ask for an offer: first those with one, which is renewed, and then
  /// others, asked longest ago first.
  /// @param available Largest number of hosts with an offer.
  /// @param others Largest number of others; none are asked if there are enough with an offer.
  /// @param regions Regions that restricted calls need. In each of them, as many hosts are renewed
  /// and sought as without a restriction: the nearest hosts may not take these calls.
  std::vector<base::address> hosts_to_ask(base::instant now,
                                          std::size_t available,
                                          std::size_t others,
                                          const base::random_hook& random,
                                          const std::set<base::region_id>& regions = {});
  /// @brief Returns hosts to name to another host, at random.
  std::vector<base::address> some_hosts(std::size_t count, const base::random_hook& random) const;
  /// @brief Number of known hosts.
  std::size_t size() const { return hosts_.size(); }

 private:
  struct record {
    relay_offer offer;
    base::instant offered_at = base::instant::min();  ///< Latest offer or success.
    base::instant stated_at = base::instant::min();   ///< Latest offer.
    base::instant asked_at = base::instant::min();
    base::instant paused_until = base::instant::min();
  };

  bool usable(const record& host, base::instant now) const;
  bool may_take(const record& host, base::instant now, const residence& allowed) const;
  int distance(const record& host) const;

  relay_host_options options_;
  std::map<base::address, record> hosts_;
};

}  // namespace catkintack::choice
