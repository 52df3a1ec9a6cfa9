#include "catkintack/serving/frontend_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <utility>

#include "catkintack/serving/http_message.hpp"
#include "catkintack/serving/status.hpp"

namespace catkintack::serving {
namespace {

constexpr base::duration upkeep_interval = std::chrono::milliseconds(500);
constexpr base::duration drain_interval = std::chrono::milliseconds(50);
constexpr base::duration check_idle_limit = std::chrono::seconds(30);

asio::awaitable<void> wait_for(asio::io_context& io, base::duration span) {
  asio::steady_timer timer(io, span);
  co_await timer.async_wait(no_throw);
}

}  // namespace

frontend_server::frontend_server(asio::io_context& io, traffic_state& state)
    : io_(io), state_(state), callers_(io), checks_(io) {}

error_code frontend_server::listen() {
  const auto on_error = [this](const error_code& error) {
    state_.log.write("accept_failed", {{"why", error.message()}});
  };
  const auto serve = [this](asio::ip::tcp::socket socket) { serve_caller(std::move(socket)); };
  if (const error_code error = callers_.listen(state_.options.callers, serve, on_error)) {
    return error;
  }
  const auto check = [this](asio::ip::tcp::socket socket) {
    asio::co_spawn(io_, answer_checks(beast::tcp_stream(std::move(socket))), asio::detached);
  };
  if (const error_code error = checks_.listen(state_.options.readiness, check, on_error)) {
    return error;
  }
  asio::co_spawn(io_, upkeep(), asio::detached);
  return {};
}

void frontend_server::serve_caller(asio::ip::tcp::socket socket) {
  error_code ignored;  // Only slower without it.
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto session = std::make_shared<caller_session>(state_, beast::tcp_stream(std::move(socket)));
  sessions_.push_back(session);
  asio::co_spawn(
      io_, [session]() -> asio::awaitable<void> { co_await session->run(); }, asio::detached);
}

asio::awaitable<void> frontend_server::answer_checks(beast::tcp_stream stream) {
  constexpr std::string_view metrics_path = "/metrics";
  beast::flat_buffer buffer;
  for (;;) {
    http::request<http::empty_body> asked;
    stream.expires_after(check_idle_limit);
    auto [error, count] = co_await http::async_read(stream, buffer, asked, no_throw);
    if (error) {
      co_return;
    }
    const std::string_view target = view(asked.target());
    own_answer reply{.status = status::not_found, .sentence = "no such page\n"};
    if (target == state_.options.readiness_path) {
      const bool ready = state_.ready();
      reply = {.status = ready ? status::ok : status::unavailable,
               .sentence = ready ? "ready\n" : "not ready\n"};
    } else if (target == metrics_path) {
      reply = {.status = status::ok, .sentence = state_.metrics.prometheus_text()};
    }
    const std::string text = to_text(reply, !asked.keep_alive());
    auto [unsent, written] = co_await asio::async_write(stream, asio::buffer(text), no_throw);
    if (unsent || !asked.keep_alive()) {
      co_return;
    }
  }
}

asio::awaitable<void> frontend_server::upkeep() {
  for (;;) {
    co_await wait_for(io_, upkeep_interval);
    const base::instant now = state_.clock();
    state_.pool.expire(now);
    for (const base::upstream_id& id : state_.upstreams.expire(now)) {
      state_.pool.forget(id);
      state_.suspicion.forget(id);
      state_.log.write("upstream_expired", {{"upstream", id.value()}});
    }
    sessions_.remove_if([](const auto& session) { return session.expired(); });
  }
}

void frontend_server::close_idle() {
  for (const auto& weak : sessions_) {
    const auto session = weak.lock();
    if (session && session->idle()) {
      session->close();
    }
  }
}

void frontend_server::stop(std::function<void(std::size_t)> stopped) {
  if (state_.stop != stop_stage::running) {
    return;
  }
  state_.stop = stop_stage::draining;
  state_.log.write("stop_begun", {{"open_calls", state_.open_calls}});
  asio::co_spawn(io_, drain(std::move(stopped)), asio::detached);
}

asio::awaitable<void> frontend_server::drain(std::function<void(std::size_t)> stopped) {
  const base::instant began = state_.clock();
  co_await wait_for(io_, state_.options.stop_accepting_after);
  state_.stop = stop_stage::refusing;
  callers_.close();
  while (state_.clock() - began < state_.options.stop_limit) {
    close_idle();
    if (state_.open_calls == 0) {
      break;
    }
    co_await wait_for(io_, drain_interval);
  }
  state_.log.write("stopped", {{"calls_cut", state_.open_calls}});
  stopped(state_.open_calls);
}

}  // namespace catkintack::serving
