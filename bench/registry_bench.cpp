/// @file
/// Time and memory per request id kept in the request registry.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include "catkintack/delivery/request_registry.hpp"

namespace {

using namespace catkintack;

delivery::final_response make_response() {
  return {delivery::outcome::answer,
          200,
          std::make_shared<const delivery::upstream_response>(delivery::upstream_response{
              200, {{"Content-Type", "text/plain"}}, std::string(100, 'x')}),
          {},
          {}};
}

base::request_id make_id(std::int64_t number) {
  return base::request_id("gw-catania-1.1796334395420538.12." + std::to_string(number));
}

/// Registers and finishes new ids while the oldest epochs are evicted.
void run_requests(benchmark::State& state) {
  delivery::request_registry registry({});
  const delivery::final_response response = make_response();
  std::int64_t number = 0;
  for (auto _ : state) {
    const base::request_id id = make_id(++number);
    registry.register_arrival({id, registry.newest_epoch(), 1, base::call_id(1)});
    registry.finish(id, response);
  }
}
BENCHMARK(run_requests);

/// Heap bytes per retained id, each with its own response of 100 bytes.
void remember_requests(benchmark::State& state) {
  constexpr std::int64_t ids = 100'000;
  for (auto _ : state) {
    const auto before = mallinfo2().uordblks;
    delivery::request_registry registry({});
    for (std::int64_t number = 0; number < ids; ++number) {
      const base::request_id id = make_id(number);
      registry.register_arrival({id, registry.newest_epoch(), 1, base::call_id(1)});
      registry.finish(id, make_response());
    }
    const auto bytes = static_cast<double>(mallinfo2().uordblks - before);
    state.counters["bytes_per_id"] = bytes / static_cast<double>(registry.size());
    state.counters["ids"] = static_cast<double>(registry.size());
  }
}
BENCHMARK(remember_requests)->Iterations(3)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
