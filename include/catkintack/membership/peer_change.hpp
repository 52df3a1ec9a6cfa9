/// @file
/// A change in what is known of a peer.
#pragma once

#include "catkintack/base/ids.hpp"
#include "catkintack/membership/peer_state.hpp"

namespace catkintack::membership {

/// @brief A peer's new health, for the time line.
struct peer_change {
  base::host_id host;
  base::incarnation run;
  peer_health health = peer_health::unheard;
};

/// @brief The name of a health as events show it.
/// @param health The health.
/// @return For example "suspect".
constexpr const char* to_string(peer_health health) {
  switch (health) {
    case peer_health::unheard:
      return "unheard";
    case peer_health::live:
      return "live";
    case peer_health::suspect:
      return "suspect";
    case peer_health::gone:
      return "gone";
  }
  return "";
}

}  // namespace catkintack::membership
