/// @file
/// What past calls of a route tell about the next.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "catkintack/base/units.hpp"
#include "catkintack/choice/smoothed.hpp"

namespace catkintack::choice {

/// @brief Work, size and deadlines by route. Not thread-safe.
class route_experience {
 public:
  /// @brief Learns from an answer.
  /// @param route The route's name.
  /// @param elapsed From sending to the whole answer.
  /// @param slowness Of the upstream when the call was sent; work is divided by it.
  /// @param exchanged_bytes Request and answer, with headers.
  void on_answer(const std::string& route,
                 base::duration elapsed,
                 double slowness,
                 std::uint64_t exchanged_bytes);

  /// @brief Learns the deadline that a caller sent.
  /// @return How long ago the caller made its first attempt: callers that come back have less time
  /// left than the most that was ever seen on this route.
  base::duration on_deadline(const std::string& route, base::duration deadline);

  /// @brief Time of the route's work on an idle machine of usual speed.
  /// @param otherwise What counts before the first answer.
  base::duration usual_work(const std::string& route, base::duration otherwise) const;

  /// @brief Expected bytes of a call and its answer.
  std::uint64_t exchanged_bytes(const std::string& route) const;

 private:
  struct record {
    smoothed work_seconds{0.1};
    smoothed bytes{0.1};
    base::duration longest_deadline{};
  };
  std::map<std::string, record> routes_;
};

}  // namespace catkintack::choice
