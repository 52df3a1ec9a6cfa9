#include "catkintack/serving/stop_check.hpp"

namespace catkintack::serving {
namespace {

// Time for the response to a call whose deadline has passed.
constexpr base::duration response_time = std::chrono::milliseconds(100);
// An upstream may become this many times as slow as estimated.
constexpr int estimate_margin = 2;

}  // namespace

bool ends_before_stop(const traffic_state& state, const call& served, base::duration expected) {
  if (state.stop == stop_stage::running) {
    return true;
  }
  const base::instant now = state.clock();
  const base::instant cut_at = state.stop_began + state.options.stop_limit;
  if (served.deadline + response_time <= cut_at) {
    return true;
  }
  return now - state.stop_began < state.options.stop_estimates_for &&
         now + expected * estimate_margin <= cut_at;
}

bool ends_before_stop(const traffic_state& state, const call& served) {
  const base::duration unknown =
      served.route->latency_objective / state.options.unknown_work_divisor;
  return ends_before_stop(
      state, served,
      state.route_statistics.service_time(routes::place_of(*served.route), unknown).typical);
}

}  // namespace catkintack::serving
