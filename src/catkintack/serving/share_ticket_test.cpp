// Calls of customers at a service that is short of capacity.
#include "catkintack/serving/share_ticket.hpp"

#include <gtest/gtest.h>

#include "catkintack/serving/call_runner.hpp"
#include "serving_fixture.hpp"

namespace catkintack::serving {
namespace {

using tests::received_request;
using tests::scripted_reply;
using tests::scripted_upstream;
using tests::serving_fixture;
using tests::valid_response;

const base::service_id service("press");
const base::customer_id noisy("noisy");
const base::customer_id quiet("quiet");

/// @brief A host whose only upstream has no free slot but room in its queue. The clock stands
/// still.
class full_service {
 public:
  full_service()
      : world([](serving_options& options) { options.hold_share = 0; },
              [now = base::system_clock_hook()()] { return now; }),
        upstream(world.add("a", [](const received_request& request) -> scripted_reply {
          return {.bytes = valid_response(request, "hello")};
        })) {
    upstream.load = "2,1,2,130";
    world.set_route(routes::delivery_kind::at_most_once);
  }

  /// @brief Records a shortage in which one customer has used up its share.
  void make_short_of_capacity() {
    constexpr int readings = 60;
    constexpr int calls = 200;
    const base::instant now = world.state.clock();
    for (int left = readings; left > 0; --left) {
      world.state.shares.record_reading(now - std::chrono::milliseconds(left * 100), service, true);
    }
    const limits::share_request request{.service = service,
                                        .customer = noisy,
                                        .customer_rank = routes::customer_policy::unranked,
                                        .route_rank = 1};
    for (int i = 0; i < calls; ++i) {
      world.state.shares.arrived(now, request);
      world.state.shares.started(now, request);
    }
  }

  call_result run(const base::customer_id& customer) {
    const auto served = std::make_shared<call>();
    served->id = "call-" + std::to_string(++calls_);
    served->method = "GET";
    served->target = "/p/x";
    served->headers.set(http::field::host, "a.example");
    served->headers.set(world.state.options.protocol.request_id, served->id);
    served->table = world.state.table;
    served->route = &world.state.table->routes().front();
    served->arrived = world.state.clock();
    served->deadline = served->arrived + served->route->timeout;
    served->customer = customer;
    std::optional<call_result> result;
    asio::co_spawn(world.io, run_call(world.state, world.io.get_executor(), served),
                   [&](const std::exception_ptr& error, call_result ended) {
                     EXPECT_FALSE(error);
                     result = std::move(ended);
                   });
    EXPECT_TRUE(world.run_until([&] { return result.has_value(); }));
    return std::move(result).value_or(call_result{});
  }

  bool logged(const std::string& text) const {
    return std::ranges::any_of(world.log_lines, [&](const std::string& line) {
      return line.find(text) != std::string::npos;
    });
  }

  serving_fixture world;
  scripted_upstream& upstream;

 private:
  int calls_ = 0;
};

bool is_answered(const call_result& result) {
  return result.upstream_response && result.upstream_response->status == 200;
}

// Guards against one customer at several times its load that takes the slots of the others.
TEST(share_ticket, customer_above_its_share_is_refused_without_a_probe) {
  full_service host;
  host.make_short_of_capacity();
  ASSERT_TRUE(is_answered(host.run(quiet)));
  const int probes = host.upstream.probes;
  const call_result result = host.run(noisy);
  const local_response refused = result.local.value_or(local_response{});
  EXPECT_EQ(refused.status, 503U);
  EXPECT_GE(refused.retry_after, host.world.state.options.placement.min_retry_after);
  EXPECT_EQ(host.upstream.received.size(), 1U);
  EXPECT_EQ(host.upstream.probes, probes);
  EXPECT_TRUE(
      host.logged("event=share_refused request=call-2 customer=noisy service=press "
                  "rule=equal_share share_per_s="));
  EXPECT_NE(host.world.state.metrics.prometheus_text().find(
                "calls_refused_by_share_total{rule=\"equal_share\"} 1"),
            std::string::npos);
}

// Guards against a full service that refuses a customer which is below its share.
TEST(share_ticket, customer_below_its_share_queues_at_a_full_service) {
  full_service before_shortage;
  EXPECT_FALSE(is_answered(before_shortage.run(quiet)));
  full_service host;
  host.make_short_of_capacity();
  EXPECT_TRUE(is_answered(host.run(quiet)));
}

// Guards against a change for deployments without customers.
TEST(share_ticket, call_without_customer_takes_no_part) {
  full_service host;
  host.make_short_of_capacity();
  EXPECT_FALSE(is_answered(host.run(base::customer_id())));
  EXPECT_FALSE(host.logged("share_refused"));
  EXPECT_EQ(host.upstream.received.size(), 0U);
  EXPECT_GT(host.upstream.probes, 0);
}

// Guards against calls in flight that are counted for ever, and against those of resends.
TEST(share_ticket, call_counts_once_and_ends_with_the_ticket) {
  full_service host;
  const limits::share_request request{.service = service, .customer = quiet};
  const auto in_flight = [&] {
    return host.world.state.shares.decide(host.world.state.clock(), request).in_flight;
  };
  call served;
  served.table = host.world.state.table;
  served.route = &served.table->routes().front();
  served.customer = quiet;
  {
    share_ticket ticket(host.world.state, served, service);
    ticket.start();
    ticket.start();
    EXPECT_EQ(in_flight(), 1U);
  }
  EXPECT_EQ(in_flight(), 0U);
}

}  // namespace
}  // namespace catkintack::serving
