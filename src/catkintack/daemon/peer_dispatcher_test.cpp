#include "catkintack/daemon/peer_dispatcher.hpp"

#include <gtest/gtest.h>

namespace catkintack::daemon {
namespace {

TEST(peer_dispatcher, dispatches_by_kind_and_refuses_unhandled_kinds) {
  peer_dispatcher dispatcher;
  dispatcher.set_handler(net::peer_request_kind::fetch_lists, [](const net::peer_request& request) {
    return net::peer_response{true, 0, "lists for " + request.sender.value()};
  });
  net::peer_request request;
  request.sender = base::host_id("gw-1");
  EXPECT_EQ(dispatcher.handle(request).body, "lists for gw-1");
  request.kind = net::peer_request_kind::hand_over;
  EXPECT_FALSE(dispatcher.handle(request).accepted);
}

}  // namespace
}  // namespace catkintack::daemon
