// Time per routing decision and memory per endpoint, with 790 endpoints in 46 services.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>
#include <vector>

#include "catkintack/routing/router.hpp"

namespace {

using namespace catkintack;

constexpr std::size_t endpoints = 790;
constexpr std::size_t services = 46;

base::service_id service_of(std::size_t index) {
  return base::service_id("service-" + std::to_string(index % services));
}

std::vector<routing::upstream_record> make_records() {
  std::vector<routing::upstream_record> records(endpoints);
  for (std::size_t index = 0; index < endpoints; ++index) {
    records[index].id = base::upstream_id("endpoint-" + std::to_string(index));
    records[index].service = service_of(index);
    records[index].slots = 2;
  }
  return records;
}

void choose_and_end(benchmark::State& state) {
  routing::router router({}, base::seeded_random_hook(1));
  base::instant now{std::chrono::seconds(1)};
  router.update_upstreams(now, make_records());
  std::vector<base::service_id> ids;
  for (std::size_t index = 0; index < services; ++index) {
    ids.push_back(service_of(index));
  }
  routing::attempt_observation observation;
  observation.elapsed = std::chrono::microseconds(100);
  observation.load = routing::load_report{1, 0, false};
  std::size_t iteration = 0;
  for (auto _ : state) {
    now += std::chrono::microseconds(100);
    const auto* const chosen = router.choose(now, ids[iteration++ % services], {});
    now += observation.elapsed;
    router.on_attempt_ended(now, chosen->id, observation);
  }
}
BENCHMARK(choose_and_end);

void choose_only(benchmark::State& state) {
  routing::router_options options;
  options.waiting_per_upstream = 1'000'000'000;
  options.overdue_weight = 0;
  routing::router router(options, base::seeded_random_hook(1));
  base::instant now{std::chrono::seconds(1)};
  router.update_upstreams(now, make_records());
  std::vector<base::service_id> ids;
  for (std::size_t index = 0; index < services; ++index) {
    ids.push_back(service_of(index));
  }
  routing::attempt_observation observation;
  observation.load = routing::load_report{1, 0, false};
  for (std::size_t index = 0; index < endpoints; ++index) {
    router.on_attempt_ended(now, base::upstream_id("endpoint-" + std::to_string(index)),
                            observation);
  }
  std::size_t iteration = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(router.choose(now, ids[iteration++ % services], {}));
  }
}
BENCHMARK(choose_only)->Iterations(100'000);

void memory_per_endpoint(benchmark::State& state) {
  for (auto _ : state) {
    const auto records = make_records();
    const std::size_t before = mallinfo2().uordblks;
    routing::router router({}, base::seeded_random_hook(1));
    router.update_upstreams({}, records);
    state.counters["bytes"] = static_cast<double>(mallinfo2().uordblks - before) / endpoints;
  }
}
BENCHMARK(memory_per_endpoint)->Iterations(1);

}  // namespace

BENCHMARK_MAIN();
