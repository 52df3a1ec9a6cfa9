#include "catkintack/serving/exchange.hpp"

#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "catkintack/serving/http_message.hpp"
#include "catkintack/serving/status.hpp"

namespace catkintack::serving {
namespace {

// An upstream may leave late answers to earlier calls; more than this many and it is given up.
constexpr int most_stray_answers = 3;

std::string request_head(const call& sent,
                         const upstream_connection& connection,
                         const upstream_protocol& protocol,
                         base::duration time_left) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(time_left);
  head_writer head = head_writer::request(sent.method, sent.target);
  head.pass_on(sent.headers, {protocol.time_left, protocol.expected_upstream, "Expect"});
  head.add(protocol.time_left, std::to_string(std::max<std::int64_t>(left.count(), 1)));
  head.add(protocol.expected_upstream, connection.upstream.value());
  if (sent.has_body) {
    head.length(sent.body_length);
  }
  return std::move(head).finish();
}

/// @brief Sends the call; a body that is not held whole is passed on as it comes.
asio::awaitable<error_code> send_request(upstream_connection& connection,
                                         call& sent,
                                         std::string text,
                                         std::uint64_t& sent_bytes) {
  const bool chunked = sent.has_body && !sent.body_length;
  if (!sent.body.empty()) {
    text += chunked ? chunk(sent.body) : sent.body;
  }
  if (chunked && !sent.more_body) {
    text += chunk({});
  }
  sent_bytes += text.size();
  auto [error, written] =
      co_await asio::async_write(connection.stream, asio::buffer(text), no_throw);
  while (!error && sent.more_body) {
    auto [piece, failed] = co_await sent.more_body();
    if (failed) {
      co_return failed;
    }
    const bool last = piece.empty();
    const std::string coded = chunked ? chunk(piece) : piece;
    sent_bytes += coded.size();
    auto [broken, count] =
        co_await asio::async_write(connection.stream, asio::buffer(coded), no_throw);
    error = broken;
    if (last) {
      sent.more_body = nullptr;
    }
  }
  co_return error;
}

bool is_stray(const response_parser& parser, const call& sent, const upstream_protocol& protocol) {
  const auto found = parser.get().find(protocol.request_id);
  return found != parser.get().end() && !sent.id.empty() && view(found->value()) != sent.id;
}

/// @brief Reads heads until one belongs to the call; answers to earlier calls are dropped.
asio::awaitable<std::pair<std::unique_ptr<response_parser>, error_code>>
read_head(upstream_connection& connection, const call& sent, const upstream_protocol& protocol) {
  for (int stray = 0; stray <= most_stray_answers;) {
    auto parser = std::make_unique<response_parser>();
    parser->body_limit(boost::none);
    parser->skip(sent.method == "HEAD");
    auto [error, count] =
        co_await http::async_read_header(connection.stream, connection.buffer, *parser, no_throw);
    if (error) {
      co_return std::pair{nullptr, error};
    }
    if (parser->get().result_int() < status::ok) {
      continue;
    }
    if (!is_stray(*parser, sent, protocol)) {
      co_return std::pair{std::move(parser), error_code{}};
    }
    ++stray;
    std::string dropped;
    if (const error_code failed = co_await read_body(connection.stream, connection.buffer, *parser,
                                                     dropped, std::string::npos)) {
      co_return std::pair{nullptr, failed};
    }
  }
  co_return std::pair{nullptr, error_code(http::error::bad_status)};
}

base::duration announced_idle_limit(const http::fields& headers) {
  constexpr std::string_view key = "timeout=";
  const std::string_view value = view(headers["Keep-Alive"]);
  const std::size_t at = value.find(key);
  if (at == std::string_view::npos) {
    return base::duration::zero();
  }
  int seconds = 0;
  const std::string_view digits = value.substr(at + key.size());
  (void)std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds(seconds);
}

exchange_end classify(const exchange_result& result,
                      const call& sent,
                      const upstream_protocol& protocol,
                      std::string& detail) {
  constexpr unsigned misdirected = 421;
  if (result.headers.count(protocol.not_run) > 0 || result.status == misdirected) {
    detail = "the upstream did not run it";
    return exchange_end::not_run;
  }
  if (result.headers.count(protocol.proof) == 0 ||
      result.headers.count(http::field::content_encoding) > 0) {
    detail = "an answer that is not the upstream's";
    return exchange_end::may_have_run;
  }
  // To a caller these statuses say "not run", which the upstream did not say.
  const bool promises = result.status == status::unavailable ||
                        result.status == status::too_many_requests ||
                        result.status == status::request_timeout;
  if (promises && !sent.repeatable()) {
    detail = "status " + std::to_string(result.status) + " without word that it did not run";
    return exchange_end::may_have_run;
  }
  if (result.status >= status::internal_error || promises) {
    detail = "status " + std::to_string(result.status);
    return exchange_end::failed;
  }
  return exchange_end::answered;
}

exchange_result broken(exchange_result result,
                       const call& sent,
                       const error_code& error,
                       std::string_view stage) {
  result.detail = std::string(stage) + ": " + error.message();
  if (sent.caller_left) {
    result.end = exchange_end::caller_left;
  } else if (error == beast::error::timeout) {
    result.end = exchange_end::timed_out;
  } else {
    result.end = exchange_end::may_have_run;
  }
  return result;
}

}  // namespace

std::string_view to_text(exchange_end end) {
  switch (end) {
    case exchange_end::answered:
      return "answered";
    case exchange_end::failed:
      return "failed";
    case exchange_end::not_run:
      return "not_run";
    case exchange_end::may_have_run:
      return "may_have_run";
    case exchange_end::timed_out:
      return "timed_out";
    case exchange_end::caller_left:
      return "caller_left";
  }
  return "unknown";
}

asio::awaitable<exchange_result> exchange(std::unique_ptr<upstream_connection> connection,
                                          call& sent,
                                          const upstream_protocol& protocol,
                                          base::duration time_left,
                                          std::size_t held_answer) {
  exchange_result result;
  upstream_connection& line = *connection;
  line.stream.expires_after(time_left);
  sent.working.insert(&line);
  std::string head = request_head(sent, line, protocol, time_left);
  const error_code unsent = co_await send_request(line, sent, std::move(head), result.sent_bytes);
  if (unsent && (sent.caller_left || unsent == beast::error::timeout)) {
    sent.working.erase(&line);
    co_return broken(std::move(result), sent, unsent, "send");
  }
  // Even a failed send may have been answered: an upstream can refuse a body before it is in.
  auto [parser, unread] = co_await read_head(line, sent, protocol);
  if (!parser) {
    sent.working.erase(&line);
    co_return broken(std::move(result), sent, unread, "answer head");
  }
  const error_code cut =
      co_await read_body(line.stream, line.buffer, *parser, result.body, held_answer);
  sent.working.erase(&line);
  if (cut) {
    co_return broken(std::move(result), sent, cut, "answer body");
  }
  result.status = parser->get().result_int();
  result.reason = std::string(view(parser->get().reason()));
  result.headers = parser->get().base();
  line.idle_limit = announced_idle_limit(result.headers);
  result.end = classify(result, sent, protocol, result.detail);
  if (!parser->is_done()) {
    result.rest = std::move(parser);
    result.connection = std::move(connection);
  } else if (parser->keep_alive() && !unsent && !sent.more_body) {
    result.connection = std::move(connection);
  }
  co_return result;
}

}  // namespace catkintack::serving
