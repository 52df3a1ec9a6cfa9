/// @file
/// Per-route statistics of past calls.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "catkintack/base/units.hpp"
#include "catkintack/choice/completion_estimate.hpp"
#include "catkintack/choice/moving_average.hpp"
#include "catkintack/choice/probe_result.hpp"

namespace catkintack::choice {

/// @brief Service time, size and deadlines of calls by route. Not thread-safe.
class route_statistics {
 public:
  /// @brief Records a response.
  /// @param elapsed Time from sending the request to the complete response.
  /// @param chosen The upstream's probe result when the call was sent; the service time is divided
  /// by its slowdown.
  /// @param exchanged_bytes Size of request and response, with headers.
  void on_response(const std::string& route,
                   base::duration elapsed,
                   const probe_result& chosen,
                   std::uint64_t exchanged_bytes);

  /// @brief Records the deadline that a caller sent.
  /// @return Estimated time since the caller's first attempt. A retry has less time left than the
  /// longest deadline seen on the route.
  base::duration on_deadline(const std::string& route, base::duration deadline);

  /// @brief Returns the service time of the route.
  /// @param fallback Typical service time before the first response.
  service_time_profile service_time(const std::string& route, base::duration fallback) const;

  /// @brief Expected size of request and response, in bytes.
  std::uint64_t exchanged_bytes(const std::string& route) const;

 private:
  struct record {
    moving_average unsaturated_seconds{0.1};  ///< Service time while the upstream had free slots.
    moving_average saturated_seconds{0.1};    ///< Service time of calls that took the last slot.
    moving_average bytes{0.1};
    base::duration longest_deadline{};
  };
  std::map<std::string, record> routes_;
};

}  // namespace catkintack::choice
