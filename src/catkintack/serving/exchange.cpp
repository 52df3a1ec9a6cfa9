#include "catkintack/serving/exchange.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "catkintack/serving/call_residence.hpp"
#include "catkintack/serving/http_message.hpp"
#include "catkintack/serving/status.hpp"

namespace catkintack::serving {
namespace {

// A connection may still deliver late responses to earlier calls; with more than this many, the
// attempt fails.
constexpr int max_stray_responses = 3;
constexpr std::size_t max_stray_body = 256U << 10U;
// Informational responses before the final one.
constexpr int max_informational_responses = 8;

std::string request_head(const call& sent,
                         const upstream_connection& connection,
                         const upstream_protocol& protocol,
                         base::duration time_left) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(time_left);
  head_writer head = head_writer::request(sent.method, sent.target);
  head.add_forwarded(sent.headers, {protocol.time_left, protocol.expected_upstream,
                                    relay_regions_header, "Expect"});
  if (!sent.relay_regions.empty()) {
    head.add(relay_regions_header, sent.relay_regions);
  }
  head.add(protocol.time_left, std::to_string(std::max<std::int64_t>(left.count(), 1)));
  head.add(protocol.expected_upstream, connection.upstream.value());
  if (!sent.customer.empty()) {
    head.add(protocol.customer, sent.customer.value());
  }
  if (sent.has_body) {
    head.add_framing(sent.body_length);
  }
  return std::move(head).finish();
}

/// @brief Sends the call; streams a body that is not completely buffered.
asio::awaitable<error_code> send_request(upstream_connection& connection,
                                         call& sent,
                                         std::string text,
                                         std::uint64_t& sent_bytes) {
  const bool chunked = sent.has_body && !sent.body_length;
  if (!sent.body.empty()) {
    text += chunked ? encode_chunk(sent.body) : sent.body;
  }
  if (chunked && !sent.read_more_body) {
    text += encode_chunk({});
  }
  sent_bytes += text.size();
  auto [error, written] =
      co_await asio::async_write(connection.stream, asio::buffer(text), no_throw);
  while (!error && sent.read_more_body) {
    auto [piece, body_error] = co_await sent.read_more_body();
    if (body_error) {
      sent.body_consumed = true;
      co_return body_error;
    }
    sent.keep_body(piece);
    const bool last = piece.empty();
    const std::string coded = chunked ? encode_chunk(piece) : piece;
    sent_bytes += coded.size();
    auto [write_error, count] =
        co_await asio::async_write(connection.stream, asio::buffer(coded), no_throw);
    error = write_error;
    if (last) {
      sent.read_more_body = nullptr;
    }
  }
  co_return error;
}

bool is_stray(const response_parser& parser, const call& sent, const upstream_protocol& protocol) {
  const auto [first, last] = parser.get().equal_range(protocol.request_id);
  return std::any_of(first, last,
                     [&](const auto& field) { return to_string_view(field.value()) != sent.id; });
}

/// @brief Reads response heads until one belongs to the call; discards responses to earlier calls.
asio::awaitable<std::pair<std::unique_ptr<response_parser>, error_code>> read_head(
    upstream_connection& connection,
    const call& sent,
    const upstream_protocol& protocol,
    upstream_notice& notice) {
  int informational = 0;
  for (int stray = 0;
       stray <= max_stray_responses && informational <= max_informational_responses;) {
    auto parser = std::make_unique<response_parser>();
    parser->body_limit(boost::none);
    parser->skip(sent.method == "HEAD");
    if (const error_code error =
            co_await read_response_head(connection.stream, connection.buffer, *parser)) {
      co_return std::pair{nullptr, error};
    }
    if (parser->get().result_int() < status::ok) {
      ++informational;
      continue;
    }
    const upstream_notice read =
        read_notice(parser->get().result_int(), parser->get().base(), protocol);
    notice.leaving = notice.leaving || read.leaving;
    notice.pause = std::max(notice.pause, read.pause);
    notice.limit = read.limit ? read.limit : notice.limit;
    notice.names_no_limit = read.names_no_limit;
    if (!is_stray(*parser, sent, protocol)) {
      co_return std::pair{std::move(parser), error_code{}};
    }
    ++stray;
    std::string dropped;
    if (const error_code body_error = co_await read_body(connection.stream, connection.buffer,
                                                         *parser, dropped, max_stray_body)) {
      co_return std::pair{nullptr, body_error};
    }
    if (!parser->is_done()) {
      co_return std::pair{nullptr, error_code(http::error::body_limit)};
    }
  }
  co_return std::pair{nullptr, error_code(http::error::bad_status)};
}

base::duration announced_idle_timeout(const http::fields& headers) {
  constexpr std::string_view key = "timeout=";
  const std::string_view value = to_string_view(headers["Keep-Alive"]);
  const std::size_t at = value.find(key);
  if (at == std::string_view::npos) {
    return base::duration::zero();
  }
  int seconds = 0;
  const std::string_view digits = value.substr(at + key.size());
  (void)std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds(seconds);
}

/// @brief Whether a copy of a refusal could be taken for the refusal of a later call on the same
/// connection: it states that the call did not run, and does not name the call.
bool is_ambiguous_refusal(const exchange_result& result, const upstream_protocol& protocol) {
  return result.outcome == exchange_outcome::not_run &&
         result.headers.count(protocol.request_id) == 0;
}

exchange_outcome classify(const exchange_result& result,
                          const call& sent,
                          const upstream_protocol& protocol,
                          std::string& detail) {
  if (result.headers.count(protocol.not_run) > 0 || result.status == status::misdirected) {
    detail = result.headers.count(protocol.request_id) > 0
                 ? "upstream reported that it did not run the call"
                 : "upstream reported, without the request id, that it did not run the call";
    return exchange_outcome::not_run;
  }
  if (result.headers.count(protocol.proof) == 0 ||
      result.headers.count(http::field::content_encoding) > 0) {
    detail = "response without proof header or with Content-Encoding";
    return exchange_outcome::may_have_run;
  }
  // A caller takes these statuses to mean that the call did not run, which the upstream did not
  // state.
  const bool implies_not_run = result.status == status::unavailable ||
                               result.status == status::too_many_requests ||
                               result.status == status::request_timeout;
  if (implies_not_run && !sent.repeatable()) {
    detail = "status " + std::to_string(result.status) +
             " without the header that marks a call as not run";
    return exchange_outcome::may_have_run;
  }
  if (result.status >= status::internal_error || implies_not_run) {
    detail = "status " + std::to_string(result.status);
    return exchange_outcome::failed;
  }
  return exchange_outcome::answered;
}

/// @brief Whether an error means that the other side ended the connection. This host's own timeouts
/// and closes do not count.
bool is_connection_loss(const error_code& error) {
  return error == asio::error::eof || error == asio::error::connection_reset ||
         error == asio::error::broken_pipe || error == http::error::end_of_stream ||
         error == http::error::partial_message;
}

exchange_result failed_exchange(exchange_result result,
                                const call& sent,
                                const error_code& error,
                                std::string_view stage) {
  result.detail = std::string(stage) + ": " + error.message();
  result.connection_lost = is_connection_loss(error);
  if (sent.caller_left) {
    result.outcome = exchange_outcome::caller_left;
  } else if (error == beast::error::timeout) {
    result.outcome = exchange_outcome::timed_out;
  } else {
    result.outcome = exchange_outcome::may_have_run;
  }
  return result;
}

}  // namespace

std::string_view to_text(exchange_outcome outcome) {
  switch (outcome) {
    case exchange_outcome::answered:
      return "answered";
    case exchange_outcome::failed:
      return "failed";
    case exchange_outcome::not_run:
      return "not_run";
    case exchange_outcome::may_have_run:
      return "may_have_run";
    case exchange_outcome::timed_out:
      return "timed_out";
    case exchange_outcome::caller_left:
      return "caller_left";
  }
  return "unknown";
}

asio::awaitable<exchange_result> exchange(std::unique_ptr<upstream_connection> connection,
                                          call& sent,
                                          const upstream_protocol& protocol,
                                          base::duration time_left,
                                          std::size_t max_buffered_response) {
  exchange_result result;
  upstream_connection& upstream = *connection;
  sent.response_started = false;
  upstream.stream.expires_after(time_left);
  sent.active_connections.insert(&upstream);
  std::string head = request_head(sent, upstream, protocol, time_left);
  const error_code send_error =
      co_await send_request(upstream, sent, std::move(head), result.sent_bytes);
  if (send_error && (sent.caller_left || send_error == beast::error::timeout)) {
    sent.active_connections.erase(&upstream);
    co_return failed_exchange(std::move(result), sent, send_error, "send");
  }
  // A response may be available even if sending failed: an upstream can reject a body before it has
  // been received completely.
  auto [parser, read_error] = co_await read_head(upstream, sent, protocol, result.notice);
  if (!parser) {
    sent.active_connections.erase(&upstream);
    co_return failed_exchange(std::move(result), sent, read_error, "answer head");
  }
  if (send_error && parser->need_eof()) {
    // The write has taken a possible reset off the socket, so that the end of the stream looks the
    // same after a part of the answer as after the whole.
    sent.active_connections.erase(&upstream);
    co_return failed_exchange(std::move(result), sent, http::error::partial_message,
                              "answer without a length after a failed send");
  }
  sent.response_started = true;
  // Copied before the body is read: the parser adds trailers to the headers.
  http::fields fields = parser->get().base();
  const error_code body_error = co_await read_body(upstream.stream, upstream.buffer, *parser,
                                                   result.body, max_buffered_response);
  sent.active_connections.erase(&upstream);
  if (body_error) {
    co_return failed_exchange(std::move(result), sent, body_error, "answer body");
  }
  result.status = parser->get().result_int();
  result.reason = std::string(to_string_view(parser->get().reason()));
  result.headers = std::move(fields);
  upstream.idle_timeout = announced_idle_timeout(result.headers);
  if (result.status == status::misdirected) {
    // Another upstream answered at this address; what it says is not about the expected one.
    result.notice = {};
  }
  result.outcome = classify(result, sent, protocol, result.detail);
  if (!parser->is_done()) {
    result.body_parser = std::move(parser);
    result.connection = std::move(connection);
  } else if (parser->keep_alive() && !send_error && !sent.read_more_body &&
             !is_ambiguous_refusal(result, protocol)) {
    result.connection = std::move(connection);
  }
  co_return result;
}

}  // namespace catkintack::serving
