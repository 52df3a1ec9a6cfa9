/// @file
/// A host of a fleet that keeps the caps of customers.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "catkintack/control/quota_exchange.hpp"
#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::tests {

inline const routes::customer_policy press_customer{.id = base::customer_id("press-co"),
                                                    .rate_per_second = 3,
                                                    .burst = 3};

inline base::address free_udp_address() {
  boost::asio::io_context io;
  const boost::asio::ip::udp::socket bound(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", bound.local_endpoint().port()};
}

/// @brief A host with a clock of its own, which the test moves.
struct quota_host {
  quota_host(boost::asio::io_context& io,
             const base::address& self,
             std::vector<base::address> authorities = {})
      : io_context(io),
        state(
            {},
            [this] { return now; },
            base::seeded_random_hook(1),
            log),
        exchange(io, state, {.self = self}) {
    exchange.adopt({.authorities = {.epoch = 1, .holders = std::move(authorities)}});
    EXPECT_FALSE(exchange.open());
    set_customers({press_customer});
  }
  void set_customers(const std::vector<routes::customer_policy>& customers) {
    routes::route_table_builder builder{base::list_version(1)};
    for (const auto& one : customers) {
      builder.add(one);
    }
    state.table = std::make_shared<const routes::route_table>(std::move(builder).build());
  }
  void call() {
    boost::asio::co_spawn(
        io_context,
        [this]() -> boost::asio::awaitable<void> {
          serving::quota_decision decision = co_await exchange.admit(press_customer);
          decisions.push_back(std::move(decision));
        },
        boost::asio::detached);
  }
  bool has_logged(const std::string& event) const {
    return std::ranges::any_of(
        log_lines, [&](const std::string& line) { return line.find(event) != std::string::npos; });
  }

  base::instant now{std::chrono::seconds(1000)};
  std::vector<std::string> log_lines;
  logging::structured_log log{[] { return base::wall_time(); }, [this] { return now; },
                              [this](const std::string& line) { log_lines.push_back(line); }};
  boost::asio::io_context& io_context;
  serving::traffic_state state;
  control::quota_exchange exchange;
  std::vector<serving::quota_decision> decisions;
};

}  // namespace catkintack::tests
