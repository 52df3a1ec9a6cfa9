#include "catkintack/control/peer_exchange.hpp"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>

#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;

base::address free_address() {
  asio::io_context io;
  const asio::ip::tcp::acceptor bound(io, {asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", bound.local_endpoint().port()};
}

knowledge_snapshot make_snapshot() {
  knowledge_snapshot result;
  result.revision = 12;
  result.table = routes::route_table_builder(base::list_version(7)).build();
  directory::endpoint upstream;
  upstream.record.id = base::upstream_id("a");
  upstream.record.service = base::service_id("press");
  upstream.record.where = {"10.0.0.1", 80};
  upstream.warm_up_left = std::chrono::seconds(2);
  result.upstreams = {upstream};
  return result;
}

std::optional<knowledge_snapshot> ask(std::uint64_t known) {
  asio::io_context io;
  const base::address where = free_address();
  peer_server server(io, make_snapshot, [](const auto&) {});
  EXPECT_FALSE(server.listen(where));
  std::optional<knowledge_snapshot> result;
  asio::co_spawn(io, ask_peer(io.get_executor(), where, {known}, std::chrono::seconds(10)),
                 [&](const std::exception_ptr&, std::optional<knowledge_snapshot> got) {
                   result = std::move(got);
                   io.stop();
                 });
  io.run();
  return result;
}

TEST(peer_exchange, host_learns_all_that_its_peer_knows) {
  const auto got = ask(0).value_or(knowledge_snapshot{});
  EXPECT_EQ(got.revision, 12U);
  EXPECT_EQ(got.table.value_or(routes::route_table()).version().value(), 7U);
  EXPECT_EQ(got.upstreams, make_snapshot().upstreams);
}

TEST(peer_exchange, nothing_comes_when_there_is_nothing_newer) { EXPECT_FALSE(ask(12)); }

TEST(peer_exchange, peer_that_is_gone_gives_nothing) {
  asio::io_context io;
  bool done = false;
  asio::co_spawn(io, ask_peer(io.get_executor(), free_address(), {0}, std::chrono::seconds(10)),
                 [&](const std::exception_ptr&, const std::optional<knowledge_snapshot>& got) {
                   EXPECT_FALSE(got);
                   done = true;
                 });
  io.run();
  EXPECT_TRUE(done);
}

}  // namespace
}  // namespace catkintack::control
