/// @file
/// Spaces the sends that an authority permits to several hosts.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/request_rate.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::limits {

/// @brief The answer to a request for one send.
struct send_reservation {
  bool granted = false;
  base::duration wait{};  ///< Granted: time until the send; else: time until asking again.
};

/// @brief Gives out the sends to each upstream one by one, at a rate. Not thread-safe.
///
/// An upstream that is asked about for the first time has its first send after one interval, so
/// that an authority cannot exceed the rate by restarting, which loses the record of its grants.
class send_reservations {
 public:
  /// @param horizon A send is reserved for at most this far ahead.
  explicit send_reservations(base::duration horizon = std::chrono::seconds(1))
      : horizon_(horizon) {}

  /// @brief Reserves the next send to an upstream.
  /// @param rate Rate of the sends that this authority may give out. When it rises, the next send
  /// is no further ahead than the new rate allows.
  send_reservation reserve(const base::upstream_id& id, base::request_rate rate, base::instant now);
  /// @brief Reserves a send to a cold upstream, which may start at once, or refuses it. Nothing is
  /// reserved ahead, so that an authority that restarts has no grants outstanding that it does not
  /// count. The first send to an upstream waits for one interval, at most 2 s, as an upstream that
  /// joins must get calls within 4 s also at a low rate.
  send_reservation reserve_now(const base::upstream_id& id,
                               base::request_rate rate,
                               base::instant now);
  /// @brief Removes the record of an upstream that no longer exists.
  void forget(const base::upstream_id& id) { next_.erase(id); }
  std::size_t size() const { return next_.size(); }

 private:
  base::duration horizon_;
  std::map<base::upstream_id, base::instant> next_;  ///< Earliest time of the next send.
};

}  // namespace catkintack::limits
