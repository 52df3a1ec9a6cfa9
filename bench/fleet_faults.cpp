#include "fleet_faults.hpp"

namespace catkintack::bench {
namespace {

constexpr base::duration slow_window_length = std::chrono::milliseconds(200);
constexpr base::duration shortest_pause = std::chrono::milliseconds(500);
constexpr base::duration longest_pause = std::chrono::seconds(1);

std::uint32_t permanent_endpoints(const fleet_options& options) {
  switch (options.injected_fault) {
    case fault::draining:
      return options.endpoints - options.endpoints / 3;
    case fault::cold_start:
      return options.endpoints - cold_endpoints;
    default:
      return options.endpoints;
  }
}

}  // namespace

double calls_per_second(const fleet_options& options) {
  const double slots = permanent_endpoints(options) * options.slots;
  return options.load * slots / base::to_seconds(options.mean_work);
}

base::duration run_length(const fleet_options& options) {
  constexpr double microseconds = 1e6;
  return base::duration(
      static_cast<std::int64_t>(options.requests / calls_per_second(options) * microseconds));
}

void plan_slow_windows(std::vector<fleet_endpoint>& endpoints,
                       std::mt19937_64& random,
                       base::instant begin,
                       base::duration length) {
  std::uniform_int_distribution<std::int64_t> pause(shortest_pause.count(), longest_pause.count());
  std::uniform_int_distribution<std::size_t> random_endpoint(0, endpoints.size() - 1);
  for (base::instant time = begin; time < begin + length; time += slow_window_length) {
    time += base::duration(pause(random));
    endpoints[random_endpoint(random)].slow_windows.push_back({time, time + slow_window_length});
  }
}

}  // namespace catkintack::bench
