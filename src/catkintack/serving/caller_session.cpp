#include "catkintack/serving/caller_session.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "catkintack/serving/call_residence.hpp"
#include "catkintack/serving/call_runner.hpp"
#include "catkintack/serving/crash_check.hpp"
#include "catkintack/serving/request_fingerprint.hpp"
#include "catkintack/serving/status.hpp"
#include "catkintack/serving/stop_check.hpp"
#include "catkintack/serving/task.hpp"

namespace catkintack::serving {
namespace {

// Limit for a caller that does not read its response; the connection is then closed.
constexpr base::duration write_timeout = std::chrono::seconds(10);
constexpr base::duration unready_retry_after = std::chrono::milliseconds(300);

std::optional<std::int64_t> parse_non_negative(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

local_response error_response(const error_code& error) {
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return {.status = status::headers_too_large, .body = "headers are too large\n"};
  }
  if (error == http::error::body_limit) {
    return {.status = status::content_too_large, .body = "the body is too large\n"};
  }
  return {.status = status::bad_request,
          .body = "the request is malformed: " + error.message() + "\n"};
}

/// @brief Counts a call as open until it has ended, also by an exception.
class open_call {
 public:
  open_call(traffic_state& state,
            std::shared_ptr<const call>& current,
            std::shared_ptr<const call> served)
      : state_(state), current_(current) {
    ++state_.open_calls;
    current_ = std::move(served);
  }
  open_call(const open_call&) = delete;
  open_call& operator=(const open_call&) = delete;
  open_call(open_call&&) = delete;
  open_call& operator=(open_call&&) = delete;
  ~open_call() {
    --state_.open_calls;
    current_ = nullptr;
  }

 private:
  traffic_state& state_;
  std::shared_ptr<const call>& current_;
};

/// @brief Memory in which a call keeps its body while the body is streamed.
class body_reservation {
 public:
  explicit body_reservation(traffic_state& state) : state_(state) {}
  body_reservation(const body_reservation&) = delete;
  body_reservation& operator=(const body_reservation&) = delete;
  body_reservation(body_reservation&&) = delete;
  body_reservation& operator=(body_reservation&&) = delete;
  ~body_reservation() { state_.kept_body_bytes -= bytes_; }

  bool add(std::size_t bytes) {
    if (state_.kept_body_bytes + bytes > state_.options.max_kept_bodies) {
      return false;
    }
    state_.kept_body_bytes += bytes;
    bytes_ += bytes;
    return true;
  }

 private:
  traffic_state& state_;
  std::size_t bytes_ = 0;
};

bool is_malformed(const error_code& error) {
  return error.category() == http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

/// @brief Sets what the head says about an admitted call, and its deadline.
void read_head_fields(traffic_state& state, const request_parser& parser, call& admitted) {
  const auto& head = parser.get();
  admitted.method = std::string(to_string_view(head.method_string()));
  admitted.target = std::string(to_string_view(head.target()));
  const auto time_left = parse_non_negative(to_string_view(head[state.options.protocol.time_left]));
  const base::duration allowed =
      time_left ? base::duration(std::chrono::milliseconds(*time_left)) : admitted.route->timeout;
  admitted.deadline = admitted.arrived + std::min(allowed, admitted.route->timeout);
  if (time_left) {
    admitted.elapsed_before_arrival =
        state.route_statistics.on_deadline(routes::place_of(*admitted.route), allowed);
  }
  admitted.has_body = parser.chunked() || head.count(http::field::content_length) > 0;
  if (const auto length = parser.content_length()) {
    admitted.body_length = *length;
  }
}

}  // namespace

caller_session::caller_session(traffic_state& state, beast::tcp_stream stream, session_peer peer)
    : state_(state), stream_(std::move(stream)), peer_(peer) {}

bool caller_session::idle() {
  if (!idle_ || !stream_.socket().is_open()) {
    return idle_;
  }
  char byte = 0;
  const ssize_t read = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return read <= 0;
}

void caller_session::close() {
  error_code ignored;  // The socket is released even if close reports an error.
  stream_.socket().close(ignored);
}

routes::request_limits caller_session::limits() const {
  return state_.table ? state_.table->limits() : routes::request_limits{};
}

asio::awaitable<bool> caller_session::write(std::string text) {
  stream_.expires_after(write_timeout);
  auto [error, count] = co_await asio::async_write(stream_, asio::buffer(text), no_throw);
  co_return !error;
}

asio::awaitable<void> caller_session::refuse(local_response response, base::customer_id customer) {
  response.request_id_header = state_.options.protocol.request_id;
  if (peer_ == session_peer::host) {
    response.not_run_header = state_.options.protocol.not_run;
  }
  state_.metrics.add("own_answers_total{status=\"" + std::to_string(response.status) + "\"}");
  state_.log.write("request_refused", {{"request", response.request_id},
                                       {"customer", customer.value()},
                                       {"status", response.status},
                                       {"why", response.body}});
  state_.customers.on_refusal(customer, response.status);
  std::string text = serialize(response, true);
  const bool written = co_await write(std::move(text));
  if (written) {
    // Shuts down the sending side first: closing a socket with unread bytes resets the connection,
    // which could discard the response in transit.
    error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
}

asio::awaitable<bool> caller_session::read_head(request_parser& parser) {
  constexpr std::size_t first_read_size = 4096;
  const routes::request_limits bounds = limits();
  parser.header_limit(static_cast<std::uint32_t>(bounds.max_header_bytes));
  parser.body_limit(bounds.max_body_bytes);
  buffer_.max_size(bounds.max_header_bytes + upstream_connection::max_read_ahead);
  if (buffer_.size() == 0) {
    idle_ = true;
    stream_.expires_after(bounds.idle_timeout);
    auto [error, count] =
        co_await stream_.async_read_some(buffer_.prepare(first_read_size), no_throw);
    idle_ = false;
    if (error) {
      co_return false;
    }
    buffer_.commit(count);
  }
  stream_.expires_after(bounds.header_timeout);
  auto [error, count] = co_await http::async_read_header(stream_, buffer_, parser, no_throw);
  if (error == beast::error::timeout) {
    co_return false;
  }
  if (error && is_malformed(error)) {
    local_response response = error_response(error);
    co_await refuse(std::move(response));
  }
  co_return !error;
}

std::optional<identity_refusal> caller_session::identify(call& received) {
  const std::string& customer_header = state_.options.protocol.customer;
  const customer_requirement required = state_.options.requires_customers
                                            ? customer_requirement::always
                                            : customer_requirement::by_table;
  const caller_identity identity =
      received.relayed
          ? identify_relayed(*received.table, *received.route, received.headers, customer_header,
                             required)
          : identify_caller(*received.table, *received.route, received.headers, required);
  received.customer = identity.customer;
  received.has_customer_rules = has_customer_rules(*received.table, required);
  if (received.has_customer_rules) {
    // Nothing that handles the call later can then send, log or store a key.
    received.headers.erase(http::field::authorization);
    received.headers.erase(customer_header);
  }
  return identity.refusal;
}

asio::awaitable<std::shared_ptr<call>> caller_session::admit(request_parser& parser) {
  const auto& head = parser.get();
  const upstream_protocol& names = state_.options.protocol;
  auto admitted = std::make_shared<call>();
  admitted->id = std::string(to_string_view(head[names.request_id]));
  admitted->arrived = state_.clock();
  admitted->table = state_.table;
  admitted->relayed = peer_ == session_peer::host;
  local_response response{.request_id = admitted->id};
  if (!admitted->table || state_.stop == stop_stage::refusing) {
    response.status = admitted->relayed ? status::misdirected : status::unavailable;
    response.body =
        admitted->table ? "not run: this host stops\n" : "not run: no routes known yet\n";
    // Other hosts serve while this one stops.
    response.retry_after =
        admitted->table ? state_.options.placement.min_retry_after : unready_retry_after;
    co_await refuse(std::move(response));
    co_return nullptr;
  }
  admitted->route = admitted->table->match(to_string_view(head[http::field::host]),
                                           to_string_view(head.target()));
  if (admitted->route == nullptr) {
    // The other host has a route for it, so that one of the two tables is out of date.
    response.status = admitted->relayed ? status::misdirected : status::not_found;
    response.body = "no route takes this request\n";
    co_await refuse(std::move(response));
    co_return nullptr;
  }
  admitted->headers = head.base();
  if (const auto refusal = identify(*admitted)) {
    state_.metrics.add("identity_refusals_total{reason=\"" + std::string(to_text(*refusal)) +
                       "\"}");
    local_response refused = make_response(*refusal);
    if (admitted->relayed) {
      // The two hosts have different tables; the call may be served elsewhere.
      refused.status = status::misdirected;
    }
    refused.request_id = admitted->id;
    co_await refuse(std::move(refused));
    co_return nullptr;
  }
  state_.customers.on_call(admitted->customer);
  read_head_fields(state_, parser, *admitted);
  restrict_to_regions(
      *admitted, admitted->table->find_customer(admitted->customer),
      admitted->relayed ? read_relay_regions(admitted->headers) : choice::residence());
  if (auto refusal = refuse_by_residence(state_, *admitted)) {
    state_.metrics.add("residence_refusals_total{reason=\"admission\"}");
    co_await refuse(std::move(*refusal));
    co_return nullptr;
  }
  if (!ends_before_stop(state_, *admitted)) {
    response.status = admitted->relayed ? status::misdirected : status::unavailable;
    response.body = refused_for_stop;
    response.retry_after = state_.options.placement.min_retry_after;
    co_await refuse(std::move(response), admitted->customer);
    co_return nullptr;
  }
  co_return admitted;
}

asio::awaitable<bool> caller_session::admit_within_cap(const call& admitted) {
  // A relayed call was counted by the host that its caller is connected to.
  if (peer_ == session_peer::host || !state_.admit_customer || admitted.customer.value().empty()) {
    co_return true;
  }
  const routes::customer_policy* const policy = admitted.table->find_customer(admitted.customer);
  if (policy == nullptr || policy->rate_per_second <= 0) {
    co_return true;
  }
  const quota_decision decision = co_await state_.admit_customer(*policy);
  if (!decision.admitted) {
    local_response response{.status = decision.status,
                            .body = "not run: " + decision.reason + "\n",
                            .retry_after = decision.retry_after,
                            .request_id = admitted.id};
    co_await refuse(std::move(response));
  }
  co_return decision.admitted;
}

asio::awaitable<bool> caller_session::read_request_body(request_parser& parser, call& admitted) {
  if (!admitted.has_body) {
    co_return true;
  }
  if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    std::string continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
    const bool continue_sent = co_await write(std::move(continue_line));
    if (!continue_sent) {
      co_return false;
    }
  }
  stream_.expires_at(std::chrono::steady_clock::now() + (admitted.deadline - state_.clock()));
  const error_code error =
      co_await read_body(stream_, buffer_, parser, admitted.body, state_.options.max_buffered_body);
  if (error) {
    if (is_malformed(error)) {
      local_response response = error_response(error);
      co_await refuse(std::move(response), admitted.customer);
    } else if (error == beast::error::timeout) {
      local_response timeout_response{.status = status::request_timeout,
                                      .body = "the body did not come in time\n"};
      co_await refuse(std::move(timeout_response), admitted.customer);
    }
    co_return false;
  }
  if (!parser.is_done()) {
    admitted.read_more_body = [this,
                               &parser]() -> asio::awaitable<std::pair<std::string, error_code>> {
      std::string piece;
      const error_code failed = co_await read_body(stream_, buffer_, parser, piece, 1);
      co_return std::pair{std::move(piece), failed};
    };
    admitted.reserve_body = [held = std::make_shared<body_reservation>(state_)](std::size_t bytes) {
      return held->add(bytes);
    };
  }
  co_return true;
}

void caller_session::watch_for_disconnect(const std::shared_ptr<call>& served) {
  if (buffer_.size() > 0 || served->read_more_body) {
    return;
  }
  stream_.socket().async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this(),
                                                                 served](const error_code& error) {
    if (error) {
      return;
    }
    char byte = 0;
    const ssize_t read =
        ::recv(self->stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Readable bytes belong to the next pipelined request, which is read later.
    if (read == 0 || (read < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
      served->on_caller_left();
    }
  });
}

void caller_session::cancel_disconnect_watch() {
  error_code ignored;  // There may be no pending operation to cancel.
  stream_.socket().cancel(ignored);
}

void caller_session::log_call(const call& served, const call_result& result) const {
  const unsigned status = result.upstream_response ? result.upstream_response->status
                          : result.local           ? result.local->status
                                                   : 0;
  const base::duration elapsed = state_.clock() - served.arrived;
  const std::string_view by = result.upstream_response ? "upstream"
                              : result.local           ? "host"
                                                       : "left";
  state_.metrics.add("calls_total{route=\"" + served.route->name.value() + "\",by=\"" +
                     std::string(by) + "\",status=\"" + std::to_string(status) + "\"}");
  state_.metrics.observe("call_seconds", elapsed);
  if (result.local) {
    state_.customers.on_refusal(served.customer, status);
  }
  state_.log.write("call_ended", {{"request", served.id},
                                  {"customer", served.customer.value()},
                                  {"fingerprint", served.fingerprint.value()},
                                  {"route", served.route->name.value()},
                                  {"routes_version", served.table->version().value()},
                                  {"status", status},
                                  {"answer_by", std::string(by)},
                                  {"upstream", result.upstream.value()},
                                  {"upstream_limit", base::to_string(result.diagnostics.limit)},
                                  {"spent_before_us", served.elapsed_before_arrival.count()},
                                  {"held_us", result.diagnostics.held.count()},
                                  {"expected_us", result.diagnostics.expected.count()},
                                  {"took_us", elapsed.count()},
                                  {"attempts", result.diagnostics.attempts},
                                  {"given_up", served.given_up},
                                  {"stopping", state_.stop == stop_stage::running ? 0 : 1},
                                  {"rounds", result.diagnostics.rounds},
                                  {"relayed", served.relayed ? 1 : 0},
                                  {"relay", result.diagnostics.relay},
                                  {"quarantined", result.diagnostics.quarantined ? 1 : 0},
                                  {"considered", result.diagnostics.considered}});
}

void caller_session::log_cut_call() const {
  if (!open_call_) {
    return;
  }
  std::string upstreams;
  for (const upstream_connection* const one : open_call_->active_connections) {
    upstreams += (upstreams.empty() ? "" : ",") + one->upstream.value();
  }
  state_.log.write("call_cut",
                   {{"request", open_call_->id},
                    {"route", open_call_->route->name.value()},
                    {"upstream", upstreams},
                    {"arrived_after_stop_us", (open_call_->arrived - state_.stop_began).count()},
                    {"time_left_us", (open_call_->deadline - state_.clock()).count()}});
}

asio::awaitable<bool> caller_session::relay_remaining_body(exchange_result& upstream,
                                                           const call& served) {
  constexpr std::size_t piece_size = 32U << 10U;
  upstream_connection& connection = *upstream.connection;
  const bool chunked = !upstream.body_parser->content_length();
  while (!upstream.body_parser->is_done()) {
    std::string piece;
    const error_code error = co_await read_body(connection.stream, connection.buffer,
                                                *upstream.body_parser, piece, piece_size);
    if (error) {
      state_.log.write("answer_cut",
                       {{"upstream", connection.upstream.value()}, {"why", error.message()}});
      if (error != beast::error::timeout) {
        const lost_call lost = describe_lost_call(state_, served, connection.upstream);
        spawn_task(stream_.get_executor(), state_.log, "crash_check",
                   check_for_crash(state_, stream_.get_executor(), lost));
      }
      co_return false;
    }
    if (!piece.empty()) {
      std::string encoded = chunked ? encode_chunk(piece) : std::move(piece);
      const bool written = co_await write(std::move(encoded));
      if (!written) {
        co_return false;
      }
    }
  }
  if (chunked) {
    std::string end = encode_chunk({});
    const bool written = co_await write(std::move(end));
    if (!written) {
      co_return false;
    }
  }
  if (upstream.body_parser->keep_alive()) {
    state_.pool.release(std::move(upstream.connection), state_.clock());
  }
  co_return true;
}

asio::awaitable<bool> caller_session::send_response(call_result& result,
                                                    const call& served,
                                                    bool close_after) {
  if (!result.upstream_response) {
    local_response local = result.local.value_or(local_response{});
    const bool not_run = local.status == status::unavailable || local.status == status::misdirected;
    if (peer_ == session_peer::host && not_run) {
      local.not_run_header = state_.options.protocol.not_run;
    }
    std::string text = serialize(local, close_after);
    co_return co_await write(std::move(text));
  }
  exchange_result& response = *result.upstream_response;
  head_writer head = head_writer::response(response.status, response.reason);
  head.add_forwarded(response.headers, {});
  if (served.method == "HEAD" || response.status == status::not_modified) {
    const auto length = response.headers[http::field::content_length];
    if (!length.empty()) {
      head.add("Content-Length", to_string_view(length));
    }
  } else if (response.status != status::no_content) {
    const auto length = response.body_parser ? response.body_parser->content_length() : boost::none;
    head.add_framing(response.body_parser
                         ? (length ? std::optional<std::uint64_t>(*length) : std::nullopt)
                         : std::optional<std::uint64_t>(response.body.size()));
  }
  if (close_after) {
    head.add("Connection", "close");
  }
  const bool chunked = response.body_parser && !response.body_parser->content_length();
  std::string text = std::move(head).finish();
  text += chunked && !response.body.empty() ? encode_chunk(response.body) : response.body;
  bool complete = co_await write(std::move(text));
  if (complete && response.body_parser) {
    complete = co_await relay_remaining_body(response, served);
  }
  co_return complete;
}

asio::awaitable<caller_session::next_step> caller_session::serve(request_parser& parser) {
  const std::shared_ptr<call> served = co_await admit(parser);
  if (!served) {
    co_return next_step::close;
  }
  const bool within_cap = co_await admit_within_cap(*served);
  if (!within_cap) {
    co_return next_step::close;
  }
  const bool complete = co_await read_request_body(parser, *served);
  if (!complete) {
    co_return next_step::close;
  }
  served->fingerprint = fingerprint_of(*served);
  const open_call counted(state_, open_call_, served);
  watch_for_disconnect(served);
  call_result result = co_await run_call(state_, stream_.get_executor(), served);
  cancel_disconnect_watch();
  log_call(*served, result);
  bool written = false;
  const bool whole_request = parser.is_done();
  const bool close_after =
      !parser.get().keep_alive() || !whole_request || state_.stop != stop_stage::running;
  if (!served->caller_left && (result.local || result.upstream_response)) {
    written = co_await send_response(result, *served, close_after);
  }
  co_return written && !close_after ? next_step::keep : next_step::close;
}

asio::awaitable<void> caller_session::run() {
  const auto self = shared_from_this();
  for (;;) {
    request_parser parser;
    const bool received = co_await read_head(parser);
    if (!received) {
      break;
    }
    const next_step step = co_await serve(parser);
    if (step == next_step::close) {
      break;
    }
  }
  error_code ignored;  // The caller may have closed the connection already.
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  close();
}

}  // namespace catkintack::serving
