/// @file
/// Settings of a host that serves routes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::control {

/// @brief Settings as read from an INI file.
struct host_settings {
  base::host_id host;
  base::region_id region;
  base::failure_domain_id failure_domain;
  std::map<base::failure_domain_id, base::region_id> regions;  ///< Of every failure domain.
  base::address callers;                                       ///< Where callers connect.
  base::address readiness;           ///< Where the balancer asks; metrics are there too.
  base::address peers;               ///< Where other hosts ask.
  base::address registry;            ///< The registry of routes and upstreams.
  std::vector<base::address> seeds;  ///< Other hosts to ask while the registry is out.
  double repeat_ratio = 0.2;         ///< Repeats per request, over all hosts.
  double repeat_slack = 50;          ///< Repeats of all hosts in one window.
  base::duration repeat_window = std::chrono::seconds(10);
  std::size_t probes_per_call = 4;         ///< Upstreams probed at once for one call.
  std::size_t neighbours = 5;              ///< Upstreams of a service that are asked first.
  std::size_t remote_probes_per_call = 2;  ///< The same of other regions; their bytes are paid.
  base::duration probe_pause = std::chrono::milliseconds(12);  ///< Between probes of a held call.
  double hold_share = 0.125;  ///< Part of its objective that a call may be held while all are busy.
  double returned_hold_share = 0.125;  ///< The same for a caller that was refused and came back.
  std::size_t queue_new_calls = 0;  ///< 0: a first attempt is refused rather than queued upstream.
  double remote_bytes_per_second = 30000;  ///< Bytes between regions that this host may cause.
  double remote_bytes_burst = 100000;      ///< The same at once.
  std::uint64_t remote_byte_limit = 9000;  ///< Largest exchange, bytes, that may leave the region.
  base::duration shortest_return = std::chrono::milliseconds(30);   ///< Least Retry-After.
  base::duration longest_return = std::chrono::milliseconds(1500);  ///< Largest, before its spread.
  base::duration leaving_limit =
      std::chrono::seconds(2);                          ///< Until a leaving upstream has no work.
  base::duration stop_limit = std::chrono::seconds(6);  ///< From the stop signal to the kill.
};

/// @brief Why a settings file was refused.
struct host_settings_error {
  std::string message;  ///< All problems, one a line, with file and key.
};

}  // namespace catkintack::control
