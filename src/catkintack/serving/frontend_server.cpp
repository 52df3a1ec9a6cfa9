#include "catkintack/serving/frontend_server.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <utility>

#include "catkintack/serving/http_message.hpp"
#include "catkintack/serving/status.hpp"
#include "catkintack/serving/task.hpp"
#include "catkintack/serving/warm_up_knowledge.hpp"

namespace catkintack::serving {
namespace {

constexpr base::duration maintenance_interval = std::chrono::milliseconds(500);
constexpr base::duration drain_poll_interval = std::chrono::milliseconds(50);
constexpr base::duration health_check_idle_timeout = std::chrono::seconds(30);

asio::awaitable<void> sleep_for(asio::io_context& io, base::duration span) {
  asio::steady_timer timer(io, span);
  co_await timer.async_wait(no_throw);
}

/// @brief Keeps the session alive while it runs.
asio::awaitable<void> run_session(std::shared_ptr<caller_session> session) {
  co_await session->run();
}

}  // namespace

frontend_server::frontend_server(asio::io_context& io, traffic_state& state)
    : io_(io),
      state_(state),
      caller_listener_(io),
      relay_listener_(io),
      health_check_listener_(io),
      isolation_check_(io.get_executor(), state) {}

error_code frontend_server::listen() {
  const auto on_error = [this](const error_code& error) {
    state_.log.write("accept_failed", {{"why", error.message()}});
  };
  const auto serve = [this](session_peer peer) {
    return [this, peer](asio::ip::tcp::socket socket) { serve_caller(std::move(socket), peer); };
  };
  if (const error_code error =
          caller_listener_.listen(state_.options.callers, serve(session_peer::caller), on_error)) {
    return error;
  }
  if (state_.options.relays.port != 0) {
    if (const error_code error =
            relay_listener_.listen(state_.options.relays, serve(session_peer::host), on_error)) {
      return error;
    }
  }
  const auto check = [this](asio::ip::tcp::socket socket) {
    spawn_task(io_.get_executor(), state_.log, "health_check",
               serve_health_checks(beast::tcp_stream(std::move(socket))));
  };
  if (const error_code error =
          health_check_listener_.listen(state_.options.readiness, check, on_error)) {
    return error;
  }
  spawn_service(io_.get_executor(), state_.log, "maintenance",
                [this] { return run_maintenance(); });
  state_.on_upstream_unreachable = [this] { isolation_check_.wake(); };
  spawn_service(io_.get_executor(), state_.log, "isolation_check",
                [this] { return isolation_check_.run(); });
  return {};
}

void frontend_server::serve_caller(asio::ip::tcp::socket socket, session_peer peer) {
  error_code ignored;  // Without the option latency is higher, but the connection works.
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto session =
      std::make_shared<caller_session>(state_, beast::tcp_stream(std::move(socket)), peer);
  sessions_.push_back(session);
  spawn_task(io_.get_executor(), state_.log, "caller_session", run_session(session));
}

asio::awaitable<void> frontend_server::serve_health_checks(beast::tcp_stream stream) {
  constexpr std::string_view metrics_path = "/metrics";
  beast::flat_buffer buffer;
  for (;;) {
    http::request<http::empty_body> request;
    stream.expires_after(health_check_idle_timeout);
    auto [error, count] = co_await http::async_read(stream, buffer, request, no_throw);
    if (error) {
      co_return;
    }
    const std::string_view target = to_string_view(request.target());
    local_response response{.status = status::not_found, .body = "no such page\n"};
    if (target == state_.options.readiness_path) {
      const bool ready = state_.ready();
      response = {.status = ready ? status::ok : status::unavailable,
                  .body = ready ? "ready\n" : "not ready\n"};
    } else if (target == metrics_path) {
      response = {.status = status::ok,
                  .body = state_.metrics.prometheus_text() + state_.customers.prometheus_text()};
    }
    const std::string text = serialize(response, !request.keep_alive());
    auto [write_error, written] = co_await asio::async_write(stream, asio::buffer(text), no_throw);
    if (write_error || !request.keep_alive()) {
      co_return;
    }
  }
}

asio::awaitable<void> frontend_server::run_maintenance() {
  for (;;) {
    co_await sleep_for(io_, maintenance_interval);
    const base::instant now = state_.clock();
    state_.pool.expire(now);
    for (const base::upstream_id& id : state_.upstreams.expire(now)) {
      state_.pool.close_all(id);
      state_.outlier_detector.forget(id);
      state_.pauses.forget(id);
      state_.upstream_limits.forget(id);
      state_.permits.forget(id);
      state_.log.write("upstream_expired", {{"upstream", id.value()}});
    }
    drop_finished_warm_ups(state_);
    sessions_.remove_if([](const auto& session) { return session.expired(); });
  }
}

bool frontend_server::close_idle() {
  bool all_idle = true;
  for (const auto& weak : sessions_) {
    const auto session = weak.lock();
    if (session && session->idle()) {
      session->close();
    } else if (session) {
      all_idle = false;
    }
  }
  return all_idle;
}

void frontend_server::stop(std::function<void(std::size_t)> stopped) {
  if (state_.stop != stop_stage::running) {
    return;
  }
  state_.stop = stop_stage::draining;
  state_.stop_began = state_.clock();
  state_.log.write("stop_begun", {{"open_calls", state_.open_calls}});
  spawn_task(io_.get_executor(), state_.log, "drain", drain(std::move(stopped)));
}

asio::awaitable<void> frontend_server::drain(std::function<void(std::size_t)> stopped) {
  co_await sleep_for(io_, state_.options.stop_accepting_after);
  state_.stop = stop_stage::refusing;
  caller_listener_.close();
  relay_listener_.close();
  while (state_.clock() - state_.stop_began < state_.options.stop_limit) {
    if (close_idle()) {
      break;
    }
    co_await sleep_for(io_, drain_poll_interval);
  }
  for (const auto& weak : sessions_) {
    if (const auto session = weak.lock()) {
      session->log_cut_call();
    }
  }
  state_.log.write("stopped", {{"calls_cut", state_.open_calls}});
  stopped(state_.open_calls);
}

}  // namespace catkintack::serving
