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

#include "catkintack/net/socket_address.hpp"

namespace catkintack::net {
namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t max_head_bytes = 64U << 10U;
constexpr std::size_t read_bytes = 64U << 10U;
constexpr int status_switching_protocols = 101;
constexpr int first_final_status = 200;

bool equals_ignoring_case(const std::string& left, const std::string& right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

void take(http::response<http::string_body> message, http_response& response) {
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  response.body = std::move(message.body());
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

http_end http_connection::exchange(const std::string& request,
                                   bool has_body,
                                   const http_limits& limits,
                                   http_response& response) {
  heard_ = false;
  http_end end = send(request, limits);
  if (end != http_end::whole) {
    return end;
  }
  do {
    response = {};
    end = read_response(has_body, limits, response);
    if (end != http_end::whole || response.status == status_switching_protocols) {
      return end == http_end::whole ? http_end::broken : end;
    }
  } while (response.status < first_final_status);
  response.reusable = response.reusable && is_idle();
  return http_end::whole;
}

http_end http_connection::send(const std::string& bytes, const http_limits& limits) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const http_end ready = wait(POLLOUT, limits);
    if (ready != http_end::whole) {
      return sent == 0 ? http_end::not_sent : ready;
    }
    const ssize_t count = ::send(socket_.descriptor(), bytes.data() + sent, bytes.size() - sent,
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno != EAGAIN && errno != EINTR) {
      return sent == 0 ? http_end::not_sent : http_end::broken;
    }
    sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
  }
  return http_end::whole;
}

http_end http_connection::wait(short events, const http_limits& limits) {
  const base::instant now = limits.clock();
  if (now >= limits.deadline) {
    return http_end::timed_out;
  }
  const bool listening = !heard_ && limits.silent_at && events == POLLIN;
  const base::instant until =
      listening ? std::min(*limits.silent_at, limits.deadline) : limits.deadline;
  const base::duration left = std::max(until - now, base::duration::zero());
  const int ready = wait_for(socket_.descriptor(), events, left);
  if (ready == 0 && until == limits.deadline) {
    return http_end::timed_out;
  }
  if (ready == 0) {
    heard_ = true;
    limits.on_silence();
    return wait(events, limits);
  }
  return ready > 0 || errno == EINTR ? http_end::whole : http_end::broken;
}

http_end http_connection::read_more(const http_limits& limits) {
  const http_end ready = wait(POLLIN, limits);
  if (ready != http_end::whole) {
    return ready;
  }
  const std::size_t before = buffer_.size();
  buffer_.resize(before + read_bytes);
  const ssize_t count =
      ::recv(socket_.descriptor(), buffer_.data() + before, read_bytes, MSG_DONTWAIT);
  buffer_.resize(before + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  heard_ = heard_ || count > 0;
  const bool again = count < 0 && (errno == EAGAIN || errno == EINTR);
  return count > 0 || again ? http_end::whole : http_end::broken;
}

http_end http_connection::read_response(bool has_body,
                                        const http_limits& limits,
                                        http_response& response) {
  http::response_parser<http::string_body> parser;
  parser.header_limit(max_head_bytes);
  parser.body_limit(limits.max_body_bytes);
  parser.skip(!has_body);
  parser.eager(true);
  while (!parser.is_done()) {
    boost::system::error_code error;
    const std::size_t used = buffer_.empty() ? 0 : parser.put(boost::asio::buffer(buffer_), error);
    buffer_.erase(0, used);
    // Without a marked length the end of the connection would pass for the end of the answer.
    if ((error && error != http::error::need_more) || parser.need_eof()) {
      return http_end::broken;
    }
    if (!parser.is_done() && (error || used == 0)) {
      const http_end more = read_more(limits);
      if (more != http_end::whole) {
        return more;
      }
    }
  }
  response.reusable = parser.keep_alive();
  take(parser.release(), response);
  return http_end::whole;
}

}  // namespace catkintack::net
