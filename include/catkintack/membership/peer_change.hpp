/// @file
/// Change of a peer's health.
#pragma once

#include "catkintack/base/ids.hpp"
#include "catkintack/membership/peer_state.hpp"

namespace catkintack::membership {

/// @brief New health of a peer, recorded as an event on the time line.
struct peer_change {
  base::host_id host;
  base::incarnation run;
  peer_health health = peer_health::unheard;
};

/// @brief Returns the name of a health value in events, for example "suspect".
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
