#include "catkintack/net/peer_server.hpp"

#include <gtest/gtest.h>

#include "catkintack/net/peer_client.hpp"
#include "free_address.hpp"

namespace catkintack::net {
namespace {

using std::chrono::seconds;

TEST(peer_server, answers_only_clients_with_the_key) {
  const base::address address = tests::free_address();
  const auto server = peer_server::open({address, "key", 8}, [](const peer_request& request) {
    return peer_response{true, 0, request.sender.value() + ":" + request.body};
  });
  ASSERT_TRUE(server);
  peer_request request;
  request.sender = base::host_id("gw-1");
  request.body = "hello";
  peer_client authorized("key");
  for (int turn = 0; turn < 3; ++turn) {
    const auto response = authorized.call(address, request, seconds(5));
    ASSERT_TRUE(response);
    EXPECT_EQ(response.value().body, "gw-1:hello");
  }
  peer_client unauthorized("other");
  EXPECT_FALSE(unauthorized.call(address, request, seconds(5)));
}

TEST(peer_client, reports_an_unreachable_peer) {
  peer_client client("key");
  const auto kind = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<net_error_kind> {
        BOOST_LEAF_CHECK(client.call(tests::free_address(), {}, seconds(5)));
        return net_error_kind::refused;
      },
      [](const net_error& error) { return error.kind; }, [] { return net_error_kind::refused; });
  EXPECT_EQ(kind, net_error_kind::unreachable);
}

}  // namespace
}  // namespace catkintack::net
