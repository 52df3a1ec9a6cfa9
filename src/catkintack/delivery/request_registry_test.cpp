#include "catkintack/delivery/request_registry.hpp"

#include <gtest/gtest.h>

namespace catkintack::delivery {
namespace {

final_response response_with_body(const std::string& body) {
  return {outcome::answer,
          200,
          std::make_shared<const upstream_response>(upstream_response{200, {}, body}),
          {},
          {}};
}

registry_arrival arrival(const std::string& id, std::uint64_t epoch, std::uint64_t call = 1) {
  return {base::request_id(id), epoch, 0, base::call_id(call)};
}

void run(request_registry& registry, const std::string& id, const std::string& body) {
  ASSERT_EQ(registry.register_arrival(arrival(id, registry.newest_epoch())),
            registry_state::first_seen);
  registry.finish(base::request_id(id), response_with_body(body));
}

TEST(request_registry, repeat_of_a_running_id_waits_for_its_end) {
  request_registry registry({});
  EXPECT_EQ(registry.register_arrival(arrival("a", 0, 1)), registry_state::first_seen);
  EXPECT_EQ(registry.register_arrival(arrival("a", 0, 2)), registry_state::running);
  const auto waiting = registry.finish(base::request_id("a"), response_with_body("x"));
  EXPECT_EQ(waiting, std::vector<base::call_id>{base::call_id(2)});
  EXPECT_EQ(registry.register_arrival(arrival("a", 0, 3)), registry_state::finished);
}

TEST(request_registry, not_run_frees_the_id) {
  request_registry registry({});
  registry.register_arrival(arrival("a", 0));
  registry.finish(base::request_id("a"), {});
  EXPECT_EQ(registry.register_arrival(arrival("a", 0)), registry_state::first_seen);
}

TEST(request_registry, evicted_id_is_never_registered_again) {
  request_registry registry({2, 1000, 1000, 1});
  for (int number = 0; number < 10; ++number) {
    run(registry, std::to_string(number), "x");
  }
  EXPECT_LE(registry.size(), 2U);
  for (std::uint64_t number = 0; number < 8; ++number) {
    EXPECT_EQ(registry.register_arrival(arrival(std::to_string(number), number)),
              registry_state::evicted);
  }
  EXPECT_EQ(registry.register_arrival(arrival("9", 9)), registry_state::finished);
}

TEST(request_registry, evicts_a_partly_filled_epoch) {
  request_registry registry({2, 1000, 1000, 1000});
  for (const char* const id : {"a", "b", "c"}) {
    run(registry, id, "x");
  }
  EXPECT_EQ(registry.register_arrival(arrival("a", 0)), registry_state::evicted);
  EXPECT_EQ(registry.register_arrival(arrival("new", 0)), registry_state::evicted);
  EXPECT_EQ(registry.register_arrival(arrival("new", registry.newest_epoch())),
            registry_state::first_seen);
}

TEST(request_registry, running_id_of_an_evicted_epoch_finishes_once) {
  request_registry registry({1, 1000, 1000, 1000});
  registry.register_arrival(arrival("slow", 0, 1));
  run(registry, "a", "x");
  run(registry, "b", "x");
  EXPECT_EQ(registry.register_arrival(arrival("slow", 0, 2)), registry_state::running);
  EXPECT_EQ(registry.finish(base::request_id("slow"), response_with_body("x")).size(), 1U);
  EXPECT_EQ(registry.register_arrival(arrival("slow", 0, 3)), registry_state::evicted);
}

TEST(request_registry, recorded_bytes_are_bounded) {
  request_registry registry({1000, 100, 250, 1});
  for (int number = 0; number < 10; ++number) {
    run(registry, std::to_string(number), std::string(100, 'x'));
  }
  EXPECT_LE(registry.size(), 2U);
}

TEST(request_registry, large_response_is_not_recorded_but_its_run_is) {
  request_registry registry({10, 100, 1000, 1000});
  run(registry, "a", std::string(101, 'x'));
  EXPECT_EQ(registry.recorded_response(base::request_id("a"))->result, outcome::unknown);
  EXPECT_EQ(registry.register_arrival(arrival("a", 0)), registry_state::finished);
}

TEST(request_registry, late_response_replaces_a_recorded_unknown) {
  request_registry registry({});
  registry.register_arrival(arrival("a", 0));
  registry.finish(base::request_id("a"), {outcome::unknown, 504, nullptr, "late", {}});
  registry.replace_unknown(base::request_id("a"), response_with_body("x"));
  registry.replace_unknown(base::request_id("a"), response_with_body("y"));
  EXPECT_EQ(registry.recorded_response(base::request_id("a"))->upstream_response->body, "x");
}

TEST(request_registry, id_of_another_request_is_refused) {
  request_registry registry({});
  registry.register_arrival(arrival("a", 0));
  EXPECT_EQ(registry.register_arrival({base::request_id("a"), 0, 9, base::call_id(2)}),
            registry_state::mismatched);
}

TEST(request_registry, unissued_epoch_is_reported) {
  request_registry registry({});
  EXPECT_EQ(registry.register_arrival(arrival("a", 1)), registry_state::never_issued);
}

TEST(request_registry, closed_registry_hands_over_running_ids_as_unknown) {
  request_registry registry({});
  registry.register_arrival(arrival("a", 0));
  registry.close();
  EXPECT_EQ(registry.register_arrival(arrival("b", 0)), registry_state::closed);
  EXPECT_EQ(registry.entries().at(0).response.result, outcome::unknown);
}

}  // namespace
}  // namespace catkintack::delivery
