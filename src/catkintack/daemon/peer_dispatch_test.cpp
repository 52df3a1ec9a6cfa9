#include "catkintack/daemon/peer_dispatch.hpp"

#include <gtest/gtest.h>

namespace catkintack::daemon {
namespace {

TEST(peer_dispatch, answers_by_kind_and_refuses_the_rest) {
  peer_dispatch table;
  table.on(net::peer_request_kind::fetch_lists, [](const net::peer_request& request) {
    return net::peer_response{true, 0, "lists for " + request.sender.value()};
  });
  net::peer_request request;
  request.sender = base::host_id("gw-1");
  EXPECT_EQ(table.handle(request).body, "lists for gw-1");
  request.kind = net::peer_request_kind::hand_over;
  EXPECT_FALSE(table.handle(request).accepted);
}

}  // namespace
}  // namespace catkintack::daemon
