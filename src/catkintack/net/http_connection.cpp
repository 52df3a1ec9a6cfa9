#include "catkintack/net/http_connection.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>
#include <cerrno>
#include <string_view>

#include "catkintack/base/http_head.hpp"
#include "catkintack/net/socket_address.hpp"

namespace catkintack::net {
namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t max_head_bytes = 64U << 10U;
constexpr std::size_t read_chunk_bytes = 64U << 10U;
constexpr std::size_t max_unparsed_bytes = 64U << 10U;
constexpr int max_informational_responses = 8;
constexpr int first_final_status = 200;

bool equals_ignoring_case(const std::string& left, const std::string& right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

void copy_head(const http::response<http::string_body>& message, http_response& response) {
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
}

int wait_for(int descriptor, short events, base::duration left) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(left);
  const auto rest = std::chrono::duration_cast<std::chrono::nanoseconds>(left - seconds);
  const timespec timeout{seconds.count(), rest.count()};
  pollfd polled{descriptor, events, 0};
  return ::ppoll(&polled, 1, &timeout, nullptr);
}

}  // namespace

std::optional<std::string> find_header(const http_headers& headers, const std::string& name) {
  const auto found = std::find_if(headers.begin(), headers.end(), [&name](const auto& header) {
    return equals_ignoring_case(header.first, name);
  });
  return found == headers.end() ? std::nullopt : std::optional(found->second);
}

std::unique_ptr<http_connection> http_connection::connect(const base::address& to,
                                                          base::duration timeout) {
  socket_handle socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!socket.valid()) {
    return nullptr;
  }
  const int on = 1;
  ::setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in target = to_socket_address(to);
  if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr*>(&target), sizeof(target)) !=
      0) {
    int error = errno;
    socklen_t size = sizeof(error);
    if (error != EINPROGRESS || wait_for(socket.descriptor(), POLLOUT, timeout) <= 0 ||
        ::getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      return nullptr;
    }
  }
  return std::unique_ptr<http_connection>(new http_connection(std::move(socket)));
}

http_connection::http_connection(socket_handle socket) : socket_(std::move(socket)) {}

bool http_connection::is_idle() const {
  char byte = 0;
  const ssize_t count = ::recv(socket_.descriptor(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return buffer_.empty() && count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

http_exchange_status http_connection::exchange(const std::string& request,
                                               bool has_body,
                                               const http_limits& limits,
                                               http_response& response) {
  silence_timer_done_ = false;
  http_exchange_status status = send(request, limits);
  if (status != http_exchange_status::complete) {
    return status;
  }
  for (int informational = 0; informational <= max_informational_responses; ++informational) {
    response = {};
    status = read_response(has_body, limits, response);
    if (status != http_exchange_status::complete) {
      return status;
    }
    if (response.status >= first_final_status) {
      response.reusable = response.reusable && is_idle();
      return http_exchange_status::complete;
    }
  }
  return http_exchange_status::broken;
}

http_exchange_status http_connection::send(const std::string& bytes, const http_limits& limits) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const http_exchange_status ready = wait(POLLOUT, limits);
    if (ready != http_exchange_status::complete) {
      return sent == 0 ? http_exchange_status::not_sent : ready;
    }
    const ssize_t count = ::send(socket_.descriptor(), bytes.data() + sent, bytes.size() - sent,
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno != EAGAIN && errno != EINTR) {
      return sent == 0 ? http_exchange_status::not_sent : http_exchange_status::broken;
    }
    sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
  }
  return http_exchange_status::complete;
}

http_exchange_status http_connection::wait(short events, const http_limits& limits) {
  const base::instant now = limits.clock();
  if (now >= limits.deadline) {
    return http_exchange_status::timed_out;
  }
  const bool listening = !silence_timer_done_ && limits.silence_deadline && events == POLLIN;
  const base::instant until =
      listening ? std::min(*limits.silence_deadline, limits.deadline) : limits.deadline;
  const base::duration left = std::max(until - now, base::duration::zero());
  const int ready = wait_for(socket_.descriptor(), events, left);
  if (ready == 0 && until == limits.deadline) {
    return http_exchange_status::timed_out;
  }
  if (ready == 0) {
    silence_timer_done_ = true;
    limits.on_silence();
    return wait(events, limits);
  }
  return ready > 0 || errno == EINTR ? http_exchange_status::complete
                                     : http_exchange_status::broken;
}

http_exchange_status http_connection::read_more(const http_limits& limits) {
  const http_exchange_status ready = wait(POLLIN, limits);
  if (ready != http_exchange_status::complete) {
    return ready;
  }
  const std::size_t before = buffer_.size();
  buffer_.resize(before + read_chunk_bytes);
  const ssize_t count =
      ::recv(socket_.descriptor(), buffer_.data() + before, read_chunk_bytes, MSG_DONTWAIT);
  buffer_.resize(before + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  silence_timer_done_ = silence_timer_done_ || count > 0;
  const bool again = count < 0 && (errno == EAGAIN || errno == EINTR);
  return count > 0 || again ? http_exchange_status::complete : http_exchange_status::broken;
}

http_exchange_status http_connection::read_head(const http_limits& limits) {
  constexpr std::string_view head_end = "\r\n\r\n";
  std::size_t searched = 0;
  for (;;) {
    const std::size_t end = buffer_.find(head_end, searched);
    if (end != std::string::npos) {
      const std::string_view head = std::string_view(buffer_).substr(0, end + head_end.size());
      return base::check_response_head(head) == base::http_head_fault::none
                 ? http_exchange_status::complete
                 : http_exchange_status::broken;
    }
    if (buffer_.size() >= max_head_bytes) {
      return http_exchange_status::broken;
    }
    searched = buffer_.size() < head_end.size() ? 0 : buffer_.size() - head_end.size() + 1;
    const http_exchange_status more = read_more(limits);
    if (more != http_exchange_status::complete) {
      return more;
    }
  }
}

http_exchange_status http_connection::read_response(bool has_body,
                                                    const http_limits& limits,
                                                    http_response& response) {
  const http_exchange_status head = read_head(limits);
  if (head != http_exchange_status::complete) {
    return head;
  }
  http::response_parser<http::string_body> parser;
  parser.header_limit(max_head_bytes);
  parser.body_limit(limits.max_body_bytes);
  parser.skip(!has_body);
  boost::system::error_code error;
  buffer_.erase(0, parser.put(boost::asio::buffer(buffer_), error));
  if (error || !parser.is_header_done()) {
    return http_exchange_status::broken;
  }
  // Copied before the body is read: the parser adds trailers to the headers.
  copy_head(parser.get(), response);
  parser.eager(true);
  while (!parser.is_done()) {
    error = {};
    const std::size_t used = buffer_.empty() ? 0 : parser.put(boost::asio::buffer(buffer_), error);
    buffer_.erase(0, used);
    // Without a declared length, a closed connection would look like the end of the response.
    if ((error && error != http::error::need_more) || parser.need_eof()) {
      return http_exchange_status::broken;
    }
    if (!parser.is_done() && (error || used == 0)) {
      // Bytes that the parser cannot use yet, such as a chunk extension, are limited too.
      if (buffer_.size() > max_unparsed_bytes) {
        return http_exchange_status::broken;
      }
      const http_exchange_status more = read_more(limits);
      if (more != http_exchange_status::complete) {
        return more;
      }
    }
  }
  response.reusable = parser.keep_alive();
  response.body = std::move(parser.get().body());
  return http_exchange_status::complete;
}

}  // namespace catkintack::net
