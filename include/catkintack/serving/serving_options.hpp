/// @file
/// Limits and addresses of the traffic side.
#pragma once

#include <cstddef>

#include "catkintack/base/address.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/choice/outlier_detector.hpp"
#include "catkintack/choice/placement.hpp"
#include "catkintack/limits/repeat_allowance.hpp"
#include "catkintack/serving/upstream_protocol.hpp"

namespace catkintack::serving {

/// @brief Settings of the traffic side.
struct serving_options {
  base::address callers;    ///< Where callers connect.
  base::address readiness;  ///< Where the balancer asks, and where metrics are.
  std::string readiness_path = "/readyz";
  base::host_id host;
  base::region_id region;
  base::failure_domain_id failure_domain;
  upstream_protocol protocol;
  choice::placement_options placement;
  choice::outlier_options suspicion;
  limits::repeat_allowance_options repeats;

  std::size_t probes_per_call = 4;  ///< More gained nothing in trials on four upstreams a region.
  /// Upstreams of a service that are asked first, of the own failure domain. At a call a second and
  /// service each is asked often enough to keep its connection from idling out.
  std::size_t neighbours = 5;
  std::size_t remote_probes_per_call = 2;  ///< Of other regions; their bytes are paid by volume.
  /// Bytes between regions that this host may cause each second, and at once; they are paid by
  /// volume. About fifteen calls a second of 2 KB, the load of one of today's hosts.
  double remote_bytes_per_second = 30000;
  double remote_bytes_burst = 100000;
  /// After this long one answered probe is enough; a round trip in a region takes 2 to 8 ms.
  base::duration probe_patience = std::chrono::milliseconds(15);
  base::duration probe_limit = std::chrono::milliseconds(60);  ///< Then a probe counts as failed.
  base::duration remote_probe_limit = std::chrono::milliseconds(120);  ///< Of another region.
  base::duration connect_limit = std::chrono::milliseconds(500);  ///< To establish a connection.
  base::duration idle_upstream = std::chrono::seconds(8);  ///< Oldest idle connection to reuse.
  std::size_t idle_per_upstream = 3;    ///< Idle connections kept for one upstream.
  std::size_t held_body = 256U << 10U;  ///< Largest body that is held to be sent again.
  /// Part of the objective that a call may be held while its upstreams are busy.
  double hold_share = 0.125;
  double returned_hold_share = 0.125;  ///< The same for a caller that was refused and came back.
  /// Part of the objective that a route's work is taken for until it had an answer.
  int unknown_work_divisor = 3;
  /// A reading below this slowness of an upstream with free slots ends probing at once.
  double good_slowness = 1.15;

  /// From the stop signal until connections are refused; the balancer needs two failed checks.
  base::duration stop_accepting_after = std::chrono::milliseconds(3200);
  base::duration stop_limit = std::chrono::milliseconds(5700);  ///< Then open calls are cut.
};

}  // namespace catkintack::serving
