#include "catkintack/control/relay_lookup.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <set>

#include "catkintack/control/message_channel.hpp"
#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

// Tests run at the same time, each in its own process, on networks and ports of their own.
constexpr int networks = 240;
const int network = 10 + ::getpid() % networks;
const auto lookup_port = static_cast<std::uint16_t>(10000 + (::getpid() / networks) % 20000);

std::string ip_in_network(const std::string& host) {
  return "127." + std::to_string(network) + "." + host;
}

/// @brief A host at an address of its own on the loopback network.
struct lookup_host {
  lookup_host(asio::io_context& io, const std::string& ip, base::duration interval)
      : address{ip, lookup_port},
        lookup(io,
               state,
               {.self = address,
                .known_hosts = [this] { return known; },

                .interval = interval}) {
    directory::endpoint upstream;
    upstream.record.id = base::upstream_id("u");
    state.upstreams.upsert(upstream, state.clock());
    state.table = std::make_shared<const routes::route_table>(
        routes::route_table_builder(base::list_version(1)).build());
    EXPECT_FALSE(lookup.open());
  }

  void isolate() {
    state.isolation.on_check(0, 4, state.clock());
    lookup.wake();
  }
  bool has_relay() {
    return state.relays
        .choose(
            state.clock(), {}, [](const auto&) { return 0U; }, state.random)
        .has_value();
  }

  base::address address;
  std::vector<base::address> known;
  std::vector<std::string> log_lines;
  logging::structured_log log{[] { return base::wall_time(); }, base::system_clock_hook(),
                              [this](const std::string& line) { log_lines.push_back(line); }};
  serving::traffic_state state{{}, base::system_clock_hook(), base::seeded_random_hook(5), log};
  relay_lookup lookup;
};

/// @brief Hosts that know each other as a tree of publishers and subscribers below three seeds.
class lookup_fleet {
 public:
  explicit lookup_fleet(std::size_t count, std::uint64_t seed) {
    const base::random_hook random = base::seeded_random_hook(seed);
    constexpr std::size_t seeds = 3;
    constexpr std::size_t hosts_per_net = 200;
    // All hosts share one thread, which must keep up with their messages.
    const base::duration interval = std::chrono::milliseconds(std::max<std::size_t>(10, count));
    for (std::size_t i = 0; i < count; ++i) {
      const std::string ip = ip_in_network(std::to_string(i / hosts_per_net) + "." +
                                           std::to_string(1 + i % hosts_per_net));
      hosts.push_back(std::make_unique<lookup_host>(io, ip, interval));
    }
    for (std::size_t i = 0; i < count; ++i) {
      for (std::size_t j = 0; j < std::min(seeds, count); ++j) {
        hosts[i]->known.push_back(hosts[j]->address);
      }
      if (i < seeds) {
        continue;
      }
      lookup_host& publisher = *hosts[random() % std::min(i, std::max(seeds, i / 4))];
      hosts[i]->known.push_back(publisher.address);
      publisher.known.push_back(hosts[i]->address);
    }
  }

  bool run_until(const std::function<bool()>& condition) {
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < give_up_at) {
      io.run_one_for(std::chrono::milliseconds(5));
    }
    return condition();
  }

  asio::io_context io;
  std::vector<std::unique_ptr<lookup_host>> hosts;
};

class relay_lookup_in_fleet : public testing::TestWithParam<std::size_t> {};

// Guards against cut-off hosts that know only hosts which are cut off too, such as all seeds.
TEST_P(relay_lookup_in_fleet, all_isolated_hosts_find_one_that_is_not) {
  lookup_fleet fleet(GetParam(), GetParam());
  const base::random_hook random = base::seeded_random_hook(GetParam() + 1);
  std::vector<lookup_host*> isolated;
  for (std::size_t i = 0; i + 1 < fleet.hosts.size(); ++i) {
    if (i < 3 || random() % 3 != 0) {
      isolated.push_back(fleet.hosts[i].get());
    }
  }
  if (fleet.hosts.size() == 3) {
    isolated = {fleet.hosts[0].get(), fleet.hosts[1].get()};
  }
  for (lookup_host* const host : isolated) {
    host->isolate();
  }
  std::set<lookup_host*> found;
  EXPECT_TRUE(fleet.run_until([&] {
    for (lookup_host* const host : isolated) {
      if (!found.contains(host) && host->has_relay()) {
        found.insert(host);
      }
    }
    return found.size() == isolated.size();
  })) << found.size()
      << " of " << isolated.size();
}

INSTANTIATE_TEST_SUITE_P(sizes, relay_lookup_in_fleet, testing::Values(3, 17, 135, 472));

TEST(relay_lookup, host_that_is_not_isolated_asks_nobody) {
  lookup_fleet fleet(3, 1);
  fleet.hosts[0]->lookup.wake();
  fleet.io.run_for(std::chrono::milliseconds(50));
  EXPECT_EQ(fleet.hosts[0]->state.relays.size(), 0U);
}

TEST(relay_lookup, stopping_host_is_not_available) {
  lookup_fleet fleet(3, 1);
  fleet.hosts[1]->state.stop = serving::stop_stage::draining;
  fleet.hosts[2]->isolate();
  fleet.hosts[0]->isolate();
  EXPECT_TRUE(fleet.run_until([&] { return fleet.hosts[0]->state.relays.size() == 2; }));
  fleet.io.run_for(std::chrono::milliseconds(100));
  EXPECT_FALSE(fleet.hosts[0]->has_relay());
  fleet.hosts[1]->state.stop = serving::stop_stage::running;
  EXPECT_TRUE(fleet.run_until([&] { return fleet.hosts[0]->has_relay(); }));
}

/// @brief The fields of a message that builds without residence know.
struct older_relay_message {
  bool is_query = false;
  bool available = false;
  base::region_id region{};
  base::failure_domain_id failure_domain{};
  std::vector<std::string> other_hosts{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(is_query, available, region, failure_domain, other_hosts);
  }
};

// Guards against an older build that takes messages for malformed, or that counts as a new one.
TEST(relay_lookup, messages_pass_between_old_and_new_builds) {
  const older_relay_message old{.available = true, .region = base::region_id("west")};
  const auto decoded = decode<relay_message>(encode(old));
  ASSERT_TRUE(decoded.has_value());
  const relay_message received = decoded.value_or(relay_message{});
  EXPECT_EQ(received.region, old.region);
  EXPECT_EQ(received.protocol_version, 0U);
  const relay_message current{.available = true, .other_hosts = {"10.0.0.1"}};
  const auto decoded_by_old = decode<older_relay_message>(encode(current));
  ASSERT_TRUE(decoded_by_old.has_value());
  EXPECT_EQ(decoded_by_old.value_or(older_relay_message{}).other_hosts, current.other_hosts);
  const auto decoded_again = decode<relay_message>(encode(current));
  ASSERT_TRUE(decoded_again.has_value());
  EXPECT_EQ(decoded_again.value_or(relay_message{}).protocol_version, relay_protocol_version);
}

// Guards against a lookup that ends with the offers of nearby hosts, while the configuration
// restricts calls to a region where no host is known yet.
TEST(relay_lookup, host_in_a_restricted_region_is_found_behind_nearer_ones) {
  lookup_fleet fleet(17, 1);
  const base::region_id west("west");
  routes::route restricted{.name = routes::route_id("r"),
                           .host = "a.example",
                           .prefix = "/",
                           .services = {{base::service_id("s"), 1}},
                           .allowed_regions = {west}};
  lookup_host& asking = *fleet.hosts[5];
  asking.state.table = std::make_shared<const routes::route_table>(
      std::move(routes::route_table_builder(base::list_version(1)).add(restricted)).build());
  fleet.hosts[16]->state.options.region = west;
  asking.isolate();
  EXPECT_TRUE(fleet.run_until([&] {
    return asking.state.relays.choose(
               asking.state.clock(), {}, [](const auto&) { return 0U; }, asking.state.random,
               choice::residence::of({west})) == fleet.hosts[16]->address;
  }));
}

TEST(relay_lookup, malformed_datagrams_and_odd_addresses_are_ignored) {
  lookup_fleet fleet(3, 1);
  lookup_host& host = *fleet.hosts[0];
  udp::socket stranger(fleet.io, {asio::ip::make_address(ip_in_network("7.7")), 0});
  const udp::endpoint target(asio::ip::make_address(host.address.ip), host.address.port);
  stranger.send_to(asio::buffer(std::string("\x7fgarbage")), target);
  const relay_message odd{.available = false,
                          .other_hosts = {"", "here", ip_in_network("0.1"), "::1"}};
  stranger.send_to(asio::buffer(encode(odd)), target);
  ASSERT_TRUE(fleet.run_until([&] { return host.state.relays.size() > 0; }));
  // The sender itself; this host's own address and the others are not added.
  EXPECT_EQ(host.state.relays.size(), 1U);
  EXPECT_TRUE(std::ranges::any_of(host.log_lines, [](const std::string& line) {
    return line.find("relay_message_refused") != std::string::npos;
  }));
}

}  // namespace
}  // namespace catkintack::control
