#include "catkintack/daemon/connection_server.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include "catkintack/daemon/http_listener.hpp"
#include "free_address.hpp"

namespace catkintack::daemon {
namespace {

TEST(connection_server, idle_connection_does_not_hold_its_end) {
  http_listener_options options;
  options.where = tests::free_address();
  options.idle_timeout = std::chrono::hours(1);
  auto listener = http_listener::open(options, [](httplib::Server& server) {
                    server.Get("/", [](const httplib::Request&, httplib::Response& response) {
                      response.set_content("here", "text/plain");
                    });
                  }).value();
  httplib::Client client(options.where.ip, options.where.port);
  client.set_keep_alive(true);
  for (int turn = 0; turn < 3; ++turn) {
    const auto answer = client.Get("/");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, "here");
  }
  listener.reset();
  EXPECT_FALSE(client.Get("/"));
}

}  // namespace
}  // namespace catkintack::daemon
