/// @file
/// Runs the serving layer with scripted upstreams and callers, over loopback on a single thread.
#pragma once

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "catkintack/routes/route_table_builder.hpp"
#include "catkintack/serving/frontend_server.hpp"
#include "free_address.hpp"

namespace catkintack::tests {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using received_request = http::request<http::string_body>;

/// @brief How a scripted upstream responds to a request.
struct scripted_reply {
  std::string bytes{};       ///< Written to the connection unchanged.
  bool close_after = false;  ///< Closes the connection after writing them.
  bool withhold = false;     ///< Never responds; keeps the connection until the gateway closes it.
  bool endless = false;      ///< Repeats the bytes after `bytes` until the connection is closed.
  std::string repeated{};    ///< The bytes that an endless reply repeats.
  bool crash = false;        ///< Ends the upstream: all its connections, and it refuses new ones.
  /// The response is written once this holds, unless the gateway closes the connection before;
  /// unset: at once.
  std::function<bool()> ready{};
};

/// @brief Builds a complete, valid upstream response.
inline std::string valid_response(const received_request& request, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nCatkintack-Proof: p\r\nCatkintack-Request-Id: " +
         std::string(request["Catkintack-Request-Id"]) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief An upstream whose responses are scripted by the test; probes are answered with `load`.
class scripted_upstream {
 public:
  using script = std::function<scripted_reply(const received_request&)>;

  scripted_upstream(asio::io_context& io, std::string name, script answer)
      : id(std::move(name)), answer_(std::move(answer)), acceptor_(io, {asio::ip::tcp::v4(), 0}) {
    asio::co_spawn(io, accept_all(io), asio::detached);
  }

  base::address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

  std::string id;
  std::string load = "0,0,2,100";
  std::optional<scripted_reply> probe_reply;  ///< Replaces the answer to probes.
  std::vector<received_request> received;     ///< Probes are not included.
  int probes = 0;
  int connections = 0;
  /// Sends the last refusal on a connection again, before each further response to a call.
  bool repeats_refusals = false;
  int closed_by_gateway = 0;  ///< Connections closed while a response was withheld.
  bool crashed = false;
  std::size_t endless_bytes = 0;  ///< Sent by endless replies.

 private:
  asio::awaitable<void> accept_all(asio::io_context& io) {
    for (;;) {
      auto [error, socket] = co_await acceptor_.async_accept(serving::no_throw);
      if (error) {
        co_return;
      }
      ++connections;
      const auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
      streams_.push_back(stream);
      asio::co_spawn(io, serve(stream), asio::detached);
    }
  }

  void end() {
    crashed = true;
    serving::error_code ignored;  // The connection may have been closed before.
    acceptor_.close(ignored);
    for (const auto& stream : streams_) {
      if (const auto open = stream.lock()) {
        open->socket().close(ignored);
      }
    }
  }

  scripted_reply respond_to(const received_request& request) {
    if (request.target() == "/health") {
      ++probes;
      if (probe_reply) {
        return *probe_reply;
      }
      return {.bytes = "HTTP/1.1 200 OK\r\nCatkintack-Upstream: " + id +
                       "\r\nCatkintack-Load: " + load + "\r\nContent-Length: 0\r\n\r\n"};
    }
    received.push_back(request);
    return answer_(request);
  }

  asio::awaitable<void> serve(std::shared_ptr<beast::tcp_stream> stream) {
    beast::flat_buffer buffer;
    std::string last_refusal;
    for (;;) {
      received_request request;
      auto [read_error, count] =
          co_await http::async_read(*stream, buffer, request, serving::no_throw);
      if (read_error) {
        co_return;
      }
      scripted_reply reply = respond_to(request);
      const std::string copy =
          repeats_refusals && request.target() != "/health" ? last_refusal : std::string();
      if (reply.bytes.starts_with("HTTP/1.1 503") || reply.bytes.starts_with("HTTP/1.1 421")) {
        last_refusal = reply.bytes;
      }
      reply.bytes.insert(0, copy);
      if (reply.crash) {
        end();
        co_return;
      }
      if (reply.withhold) {
        char byte = 0;
        co_await stream->async_read_some(asio::buffer(&byte, 1), serving::no_throw);
        ++closed_by_gateway;
        co_return;
      }
      if (reply.ready) {
        const bool answers = co_await wait_until_ready(stream->socket(), reply.ready);
        if (!answers) {
          co_return;
        }
      }
      co_await asio::async_write(*stream, asio::buffer(reply.bytes), serving::no_throw);
      while (reply.endless) {
        auto [error, written] =
            co_await asio::async_write(*stream, asio::buffer(reply.repeated), serving::no_throw);
        endless_bytes += written;
        if (error) {
          ++closed_by_gateway;
          co_return;
        }
      }
      if (reply.close_after) {
        co_return;
      }
    }
  }

  /// @return False if the gateway closed the connection first.
  asio::awaitable<bool> wait_until_ready(asio::ip::tcp::socket& socket,
                                         std::function<bool()> ready) {
    asio::steady_timer timer(socket.get_executor());
    while (!ready()) {
      char byte = 0;
      if (::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
        ++closed_by_gateway;
        co_return false;
      }
      timer.expires_after(std::chrono::milliseconds(2));
      co_await timer.async_wait(serving::no_throw);
    }
    co_return true;
  }

  script answer_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<beast::tcp_stream>> streams_;
};

/// @brief A gateway host with its serving layer and scripted upstreams.
class serving_fixture {
 public:
  explicit serving_fixture(const std::function<void(serving::serving_options&)>& configure = {},
                           const base::clock_hook& clock = base::system_clock_hook())
      : log([] { return base::wall_time(); },
            clock,
            [this](const std::string& line) { log_lines.push_back(line); }),
        state(make_options(configure), clock, base::seeded_random_hook(20261203), log),
        front(io, state) {
    EXPECT_FALSE(front.listen());
  }

  /// @brief Starts an upstream of the service "press" and adds it to the directory.
  scripted_upstream& add(std::string name, scripted_upstream::script answer) {
    upstreams.push_back(
        std::make_unique<scripted_upstream>(io, std::move(name), std::move(answer)));
    add_to_directory(*upstreams.back());
    return *upstreams.back();
  }

  /// @brief Adds an upstream to the directory, or replaces its entry.
  void add_to_directory(const scripted_upstream& upstream, bool leaving = false) {
    directory::endpoint entry;
    entry.record.id = base::upstream_id(upstream.id);
    entry.record.service = base::service_id("press");
    entry.record.where = upstream.address();
    entry.record.region = state.options.region;
    entry.record.slots = 2;
    entry.record.leaving = leaving;
    state.upstreams.upsert(entry, state.clock());
  }

  /// @brief Makes the host take itself for isolated, also while it reaches one upstream: it lists
  /// three at an address without a listener.
  void isolate() {
    for (const char* name : {"unreachable_1", "unreachable_2", "unreachable_3"}) {
      directory::endpoint entry;
      entry.record.id = base::upstream_id(name);
      entry.record.service = base::service_id("press");
      entry.record.where = {"127.0.0.1", 1};
      entry.record.region = state.options.region;
      entry.record.slots = 2;
      state.upstreams.upsert(entry, state.clock());
    }
    state.isolation.on_check(0, 4, state.clock());
  }

  /// @brief Replaces the route table with a single route: host a.example, prefix /p/.
  void set_route(routes::delivery_kind delivery,
                 base::duration timeout = std::chrono::seconds(2),
                 std::uint64_t version = 1) {
    routes::route_table_builder builder{base::list_version(version)};
    builder.add(routes::service_profile{.service = base::service_id("press")});
    builder.add(routes::route{.name = routes::route_id("r"),
                              .host = "a.example",
                              .prefix = "/p/",
                              .services = {{base::service_id("press"), 1}},
                              .delivery = delivery,
                              .timeout = timeout,
                              .latency_objective = timeout / 2,
                              .max_attempts = 2,
                              .priority_rank = 1});
    state.table = std::make_shared<const routes::route_table>(std::move(builder).build());
  }

  /// @brief Records enough requests that the repeat budget allows the next sends to be repeated.
  void fill_repeat_budget() {
    for (int i = 0; i < 20; ++i) {
      state.repeats.on_request(base::service_id("press"), state.clock());
    }
  }

  /// @brief Runs the event loop until a condition holds, for at most 20 s.
  /// @return Whether the condition holds.
  bool run_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
  }

  asio::io_context io;
  std::vector<std::string> log_lines;
  logging::structured_log log;
  serving::traffic_state state;
  serving::frontend_server front;
  std::vector<std::unique_ptr<scripted_upstream>> upstreams;

 private:
  static serving::serving_options make_options(
      const std::function<void(serving::serving_options&)>& configure) {
    serving::serving_options options;
    options.callers = free_address();
    options.readiness = free_address();
    options.region = base::region_id("east");
    options.failure_domain = base::failure_domain_id("one");
    options.protocol.expected_upstream = "Catkintack-Expected-Upstream";
    options.protocol.read_load = [](std::string_view text) -> std::optional<choice::probe_result> {
      unsigned running = 0;
      unsigned queued = 0;
      unsigned slots = 0;
      unsigned percent = 0;
      if (std::sscanf(std::string(text).c_str(), "%u,%u,%u,%u", &running, &queued, &slots,
                      &percent) != 4) {
        return std::nullopt;
      }
      return choice::probe_result{running, queued, slots, percent / 100.0};
    };
    if (configure) {
      configure(options);
    }
    return options;
  }
};

/// @brief A caller's connection; collects the response bytes unchanged.
class scripted_caller {
 public:
  explicit scripted_caller(serving_fixture& world) : world_(world), socket_(world.io) {
    socket_.connect({asio::ip::make_address("127.0.0.1"), world.state.options.callers.port});
    asio::co_spawn(world.io, collect(), asio::detached);
  }
  scripted_caller(const scripted_caller&) = delete;
  scripted_caller& operator=(const scripted_caller&) = delete;
  scripted_caller(scripted_caller&&) = delete;
  scripted_caller& operator=(scripted_caller&&) = delete;
  /// Waits for collect(), which refers to this object.
  ~scripted_caller() {
    serving::error_code ignored;  // The connection may have been closed before.
    socket_.close(ignored);
    world_.run_until([&] { return closed; });
  }

  /// @brief Sends bytes unchanged.
  void send(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
  /// @brief Sends bytes that the gateway may refuse by closing the connection.
  void send_some(const std::string& bytes) {
    serving::error_code closed_by_gateway;
    asio::write(socket_, asio::buffer(bytes), closed_by_gateway);
  }
  /// @brief Sends a GET request without a body.
  void get(const std::string& id, const std::string& target = "/p/x") {
    send("GET " + target + " HTTP/1.1\r\nHost: a.example\r\nCatkintack-Request-Id: " + id +
         "\r\nCatkintack-Time-Left-Ms: 4000\r\n\r\n");
  }
  /// @brief Waits until the received bytes contain a text.
  bool wait_for(const std::string& text) {
    return world_.run_until([&] { return received_bytes.find(text) != std::string::npos; });
  }
  /// @brief Waits until the gateway closes the connection.
  bool wait_for_close() {
    return world_.run_until([&] { return closed; });
  }
  /// @brief Closes the connection from the caller's side.
  void disconnect() { socket_.close(); }

  std::string received_bytes;
  bool closed = false;
  serving::error_code close_reason;  ///< End of stream, or an error such as a reset.

 private:
  asio::awaitable<void> collect() {
    std::array<char, 4096> chunk{};
    for (;;) {
      auto [error, count] =
          co_await socket_.async_read_some(asio::buffer(chunk), serving::no_throw);
      received_bytes.append(chunk.data(), count);
      if (error) {
        closed = true;
        close_reason = error;
        co_return;
      }
    }
  }

  serving_fixture& world_;
  asio::ip::tcp::socket socket_;
};

}  // namespace catkintack::tests
