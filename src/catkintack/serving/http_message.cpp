#include "catkintack/serving/http_message.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>

namespace catkintack::serving {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// RFC 9110, section 7.6.1, and the framing headers, which are generated for each message.
constexpr std::array<std::string_view, 10> hop_by_hop_headers = {"Connection",
                                                                 "Keep-Alive",
                                                                 "Proxy-Connection",
                                                                 "Proxy-Authenticate",
                                                                 "Proxy-Authorization",
                                                                 "TE",
                                                                 "Trailer",
                                                                 "Transfer-Encoding",
                                                                 "Upgrade",
                                                                 "Content-Length"};

bool iequal(std::string_view a, std::string_view b) {
  return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

template <class Names>
bool contains(const Names& names, std::string_view name) {
  return std::ranges::any_of(names, [&](std::string_view one) { return iequal(one, name); });
}

}  // namespace

head_writer head_writer::request(std::string_view method, std::string_view target) {
  head_writer result;
  result.text_.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  return result;
}

head_writer head_writer::response(unsigned status, std::string_view reason) {
  head_writer result;
  result.text_.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason);
  result.text_.append("\r\n");
  return result;
}

head_writer& head_writer::add(std::string_view name, std::string_view value) {
  text_.append(name).append(": ").append(value).append("\r\n");
  return *this;
}

head_writer& head_writer::add_forwarded(const http::fields& received,
                                        std::initializer_list<std::string_view> overridden) {
  const http::token_list connection_tokens(received[http::field::connection]);
  for (const auto& field : received) {
    const std::string_view name(field.name_string().data(), field.name_string().size());
    if (contains(hop_by_hop_headers, name) || contains(overridden, name) ||
        std::ranges::any_of(connection_tokens, [&](const auto& token) {
          return iequal({token.data(), token.size()}, name);
        })) {
      continue;
    }
    add(name, {field.value().data(), field.value().size()});
  }
  return *this;
}

head_writer& head_writer::add_framing(std::optional<std::uint64_t> bytes) {
  return bytes ? add("Content-Length", std::to_string(*bytes))
               : add("Transfer-Encoding", "chunked");
}

std::string head_writer::finish() && {
  text_.append("\r\n");
  return std::move(text_);
}

std::string encode_chunk(std::string_view piece) {
  std::array<char, 20> size{};
  const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
  std::string text(size.data(), static_cast<std::size_t>(digits));
  text.append(piece).append("\r\n");
  return text;
}

std::string serialize(const local_response& response, bool close) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
  head_writer head = head_writer::response(response.status, {reason.data(), reason.size()});
  head.add("Content-Type", "text/plain").add_framing(response.body.size());
  if (response.retry_after > base::duration::zero()) {
    std::array<char, 32> seconds{};
    const int digits = std::snprintf(seconds.data(), seconds.size(), "%.3f",
                                     base::to_seconds(response.retry_after));
    head.add("Retry-After", {seconds.data(), static_cast<std::size_t>(digits)});
  }
  if (!response.request_id.empty()) {
    head.add(response.request_id_header, response.request_id);
  }
  if (!response.not_run_header.empty()) {
    head.add(response.not_run_header, "1");
  }
  if (!response.authenticate.empty()) {
    head.add("WWW-Authenticate", response.authenticate);
  }
  if (close) {
    head.add("Connection", "close");
  }
  return std::move(head).finish().append(response.body);
}

}  // namespace catkintack::serving
