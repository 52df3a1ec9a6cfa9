/// @file
/// What past calls of a route tell about the next.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "catkintack/base/units.hpp"
#include "catkintack/choice/completion_estimate.hpp"
#include "catkintack/choice/moving_average.hpp"
#include "catkintack/choice/probe_result.hpp"

namespace catkintack::choice {

/// @brief Work, size and deadlines by route. Not thread-safe.
class route_statistics {
 public:
  /// @brief Learns from an answer.
  /// @param route The route's name.
  /// @param elapsed From sending to the whole answer.
  /// @param chosen The upstream's reading when the call was sent; work is freed of its slowness.
  /// @param exchanged_bytes Request and answer, with headers.
  void on_response(const std::string& route,
                   base::duration elapsed,
                   const probe_result& chosen,
                   std::uint64_t exchanged_bytes);

  /// @brief Learns the deadline that a caller sent.
  /// @return How long ago the caller made its first attempt: callers that come back have less time
  /// left than the most that was ever seen on this route.
  base::duration on_deadline(const std::string& route, base::duration deadline);

  /// @brief How long the route's work takes.
  /// @param otherwise Its usual time before the first answer.
  service_time_profile service_time(const std::string& route, base::duration otherwise) const;

  /// @brief Expected bytes of a call and its answer.
  std::uint64_t exchanged_bytes(const std::string& route) const;

 private:
  struct record {
    moving_average spare_seconds{0.1};  ///< Of work that found slots to spare.
    moving_average full_seconds{0.1};   ///< Of work that took the last slot.
    moving_average bytes{0.1};
    base::duration longest_deadline{};
  };
  std::map<std::string, record> routes_;
};

}  // namespace catkintack::choice
