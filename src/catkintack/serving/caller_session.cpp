#include "catkintack/serving/caller_session.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "catkintack/serving/call_runner.hpp"
#include "catkintack/serving/status.hpp"

namespace catkintack::serving {
namespace {

// A caller that does not take its answer for this long is given up.
constexpr base::duration write_limit = std::chrono::seconds(10);
constexpr base::duration unready_retry_after = std::chrono::milliseconds(300);

std::optional<std::int64_t> whole_number(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

own_answer refusal_of(const error_code& error) {
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return {.status = status::headers_too_large, .sentence = "headers are too large\n"};
  }
  if (error == http::error::body_limit) {
    return {.status = status::content_too_large, .sentence = "the body is too large\n"};
  }
  return {.status = status::bad_request,
          .sentence = "the request is malformed: " + error.message() + "\n"};
}

bool malformed(const error_code& error) {
  return error.category() == http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

caller_session::caller_session(traffic_state& state, beast::tcp_stream stream)
    : state_(state), stream_(std::move(stream)) {}

void caller_session::close() {
  error_code ignored;  // Closing is final whatever the kernel says.
  stream_.socket().close(ignored);
}

routes::request_limits caller_session::limits() const {
  return state_.table ? state_.table->limits() : routes::request_limits{};
}

asio::awaitable<bool> caller_session::write(std::string text) {
  stream_.expires_after(write_limit);
  auto [error, count] = co_await asio::async_write(stream_, asio::buffer(text), no_throw);
  co_return !error;
}

asio::awaitable<void> caller_session::refuse(own_answer refused) {
  refused.request_id_header = state_.options.protocol.request_id;
  state_.metrics.add("own_answers_total{status=\"" + std::to_string(refused.status) + "\"}");
  state_.log.write(
      "request_refused",
      {{"request", refused.request_id}, {"status", refused.status}, {"why", refused.sentence}});
  std::string text = to_text(refused, true);
  const bool written = co_await write(std::move(text));
  if (written) {
    // Ends this side first: closing with unread bytes would reset the answer on its way.
    error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
}

asio::awaitable<bool> caller_session::read_head(request_parser& parser) {
  constexpr std::size_t first_piece = 4096;
  const routes::request_limits bounds = limits();
  parser.header_limit(static_cast<std::uint32_t>(bounds.max_header_bytes));
  parser.body_limit(bounds.max_body_bytes);
  if (buffer_.size() == 0) {
    idle_ = true;
    stream_.expires_after(bounds.idle_timeout);
    auto [error, count] = co_await stream_.async_read_some(buffer_.prepare(first_piece), no_throw);
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
  if (error && malformed(error)) {
    own_answer refused = refusal_of(error);
    co_await refuse(std::move(refused));
  }
  co_return !error;
}

asio::awaitable<std::shared_ptr<call>> caller_session::admit(request_parser& parser) {
  const auto& head = parser.get();
  const upstream_protocol& names = state_.options.protocol;
  auto made = std::make_shared<call>();
  made->id = std::string(view(head[names.request_id]));
  made->arrived = state_.clock();
  made->table = state_.table;
  own_answer refused{.request_id = made->id};
  if (!made->table || state_.stop == stop_stage::refusing) {
    refused.status = status::unavailable;
    refused.sentence =
        made->table ? "not run: this host stops\n" : "not run: no routes known yet\n";
    refused.retry_after = unready_retry_after;
    co_await refuse(std::move(refused));
    co_return nullptr;
  }
  made->route = made->table->match(view(head[http::field::host]), view(head.target()));
  if (made->route == nullptr) {
    refused.status = status::not_found;
    refused.sentence = "no route takes this request\n";
    co_await refuse(std::move(refused));
    co_return nullptr;
  }
  made->method = std::string(view(head.method_string()));
  made->target = std::string(view(head.target()));
  made->headers = head.base();
  const auto left = whole_number(view(head[names.time_left]));
  const base::duration allowed =
      left ? base::duration(std::chrono::milliseconds(*left)) : made->route->timeout;
  made->deadline = made->arrived + std::min(allowed, made->route->timeout);
  if (left) {
    made->caller_spent = state_.experience.on_deadline(made->route->name.value(), allowed);
  }
  made->has_body = parser.chunked() || head.count(http::field::content_length) > 0;
  if (const auto length = parser.content_length()) {
    made->body_length = *length;
  }
  co_return made;
}

asio::awaitable<bool> caller_session::read_call_body(request_parser& parser, call& made) {
  if (!made.has_body) {
    co_return true;
  }
  if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    std::string invitation = "HTTP/1.1 100 Continue\r\n\r\n";
    const bool invited = co_await write(std::move(invitation));
    if (!invited) {
      co_return false;
    }
  }
  stream_.expires_at(std::chrono::steady_clock::now() + (made.deadline - state_.clock()));
  const error_code error =
      co_await read_body(stream_, buffer_, parser, made.body, state_.options.held_body);
  if (error) {
    if (malformed(error)) {
      own_answer refused = refusal_of(error);
      co_await refuse(std::move(refused));
    } else if (error == beast::error::timeout) {
      own_answer late{.status = status::request_timeout,
                      .sentence = "the body did not come in time\n"};
      co_await refuse(std::move(late));
    }
    co_return false;
  }
  if (!parser.is_done()) {
    made.more_body = [this, &parser]() -> asio::awaitable<std::pair<std::string, error_code>> {
      std::string piece;
      const error_code failed = co_await read_body(stream_, buffer_, parser, piece, 1);
      co_return std::pair{std::move(piece), failed};
    };
  }
  co_return true;
}

void caller_session::watch_caller(const std::shared_ptr<call>& served) {
  if (buffer_.size() > 0 || served->more_body) {
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
    // Bytes are the next request, which waits its turn.
    if (read == 0 || (read < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
      served->on_caller_left();
    }
  });
}

void caller_session::stop_watching() {
  error_code ignored;  // Nothing to cancel is no error here.
  stream_.socket().cancel(ignored);
}

void caller_session::log_call(const call& served, const call_result& result) const {
  const unsigned status = result.upstream_answer ? result.upstream_answer->status
                          : result.own           ? result.own->status
                                                 : 0;
  const base::duration took = state_.clock() - served.arrived;
  const std::string_view by = result.upstream_answer ? "upstream" : result.own ? "host" : "left";
  state_.metrics.add("calls_total{route=\"" + served.route->name.value() + "\",by=\"" +
                     std::string(by) + "\",status=\"" + std::to_string(status) + "\"}");
  state_.metrics.observe("call_seconds", took);
  state_.log.write("call_ended", {{"request", served.id},
                                  {"route", served.route->name.value()},
                                  {"routes_version", served.table->version().value()},
                                  {"status", status},
                                  {"answer_by", std::string(by)},
                                  {"upstream", result.upstream.value()},
                                  {"spent_before_us", served.caller_spent.count()},
                                  {"held_us", result.account.held.count()},
                                  {"expected_us", result.account.expected.count()},
                                  {"took_us", took.count()},
                                  {"attempts", result.account.attempts},
                                  {"rounds", result.account.rounds},
                                  {"considered", result.account.considered}});
}

asio::awaitable<bool> caller_session::relay_rest(exchange_result& upstream) {
  constexpr std::size_t piece_size = 32U << 10U;
  upstream_connection& line = *upstream.connection;
  const bool chunked = !upstream.rest->content_length();
  while (!upstream.rest->is_done()) {
    std::string piece;
    const error_code error =
        co_await read_body(line.stream, line.buffer, *upstream.rest, piece, piece_size);
    if (error) {
      state_.log.write("answer_cut",
                       {{"upstream", line.upstream.value()}, {"why", error.message()}});
      co_return false;
    }
    if (!piece.empty()) {
      std::string coded = chunked ? chunk(piece) : std::move(piece);
      const bool written = co_await write(std::move(coded));
      if (!written) {
        co_return false;
      }
    }
  }
  if (chunked) {
    std::string end = chunk({});
    const bool written = co_await write(std::move(end));
    if (!written) {
      co_return false;
    }
  }
  if (upstream.rest->keep_alive()) {
    state_.pool.give_back(std::move(upstream.connection), state_.clock());
  }
  co_return true;
}

asio::awaitable<bool> caller_session::answer(call_result& result,
                                             const call& served,
                                             bool close_after) {
  if (!result.upstream_answer) {
    std::string text = to_text(result.own.value_or(own_answer{}), close_after);
    co_return co_await write(std::move(text));
  }
  exchange_result& given = *result.upstream_answer;
  head_writer head = head_writer::answer(given.status, given.reason);
  head.pass_on(given.headers, {});
  if (served.method == "HEAD" || given.status == status::not_modified) {
    const auto length = given.headers[http::field::content_length];
    if (!length.empty()) {
      head.add("Content-Length", view(length));
    }
  } else if (given.status != status::no_content) {
    const auto length = given.rest ? given.rest->content_length() : boost::none;
    head.length(given.rest ? (length ? std::optional<std::uint64_t>(*length) : std::nullopt)
                           : std::optional<std::uint64_t>(given.body.size()));
  }
  if (close_after) {
    head.add("Connection", "close");
  }
  const bool coded = given.rest && !given.rest->content_length();
  std::string text = std::move(head).finish();
  text += coded && !given.body.empty() ? chunk(given.body) : given.body;
  bool whole = co_await write(std::move(text));
  if (whole && given.rest) {
    whole = co_await relay_rest(given);
  }
  co_return whole;
}

asio::awaitable<caller_session::after> caller_session::serve(request_parser& parser) {
  const std::shared_ptr<call> served = co_await admit(parser);
  if (!served) {
    co_return after::close;
  }
  const bool complete = co_await read_call_body(parser, *served);
  if (!complete) {
    co_return after::close;
  }
  ++state_.open_calls;
  watch_caller(served);
  call_result result = co_await run_call(state_, stream_.get_executor(), served);
  stop_watching();
  log_call(*served, result);
  bool written = false;
  const bool whole_request = parser.is_done();
  const bool close_after =
      !parser.get().keep_alive() || !whole_request || state_.stop != stop_stage::running;
  if (!served->caller_left && (result.own || result.upstream_answer)) {
    written = co_await answer(result, *served, close_after);
  }
  --state_.open_calls;
  co_return written && !close_after ? after::keep : after::close;
}

asio::awaitable<void> caller_session::run() {
  const auto self = shared_from_this();
  for (;;) {
    request_parser parser;
    const bool received = co_await read_head(parser);
    if (!received) {
      break;
    }
    const after next = co_await serve(parser);
    if (next == after::close) {
      break;
    }
  }
  error_code ignored;  // The caller may have ended the connection already.
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  close();
}

}  // namespace catkintack::serving
