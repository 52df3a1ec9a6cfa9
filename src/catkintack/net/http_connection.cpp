#include "catkintack/net/http_connection.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>

#include "catkintack/net/socket_address.hpp"

namespace catkintack::net {
namespace {

constexpr std::size_t max_line_bytes = 16U << 10U;
constexpr std::size_t max_headers = 256;
constexpr std::size_t read_bytes = 64U << 10U;
constexpr int status_switching_protocols = 101;
constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

bool equals_ignoring_case(const std::string& left, const std::string& right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::size_t count_headers(const http_headers& headers, const std::string& name) {
  return static_cast<std::size_t>(std::count_if(
      headers.begin(), headers.end(),
      [&name](const auto& header) { return equals_ignoring_case(header.first, name); }));
}

/// Reads a number that fills the whole text.
std::optional<std::uint64_t> parse_number(const std::string& text, int base) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value, base);
  if (error != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return value;
}

std::string trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
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
  http_end end = send(request, limits);
  if (end != http_end::whole) {
    return end;
  }
  do {
    response = {};
    end = read_head(response, limits);
    if (end != http_end::whole || response.status == status_switching_protocols) {
      return end == http_end::whole ? http_end::broken : end;
    }
  } while (response.status < first_final_status);
  end = read_body(has_body, response, limits);
  const std::string connection = find_header(response.headers, "Connection").value_or("");
  response.reusable = version_1_1_ && !equals_ignoring_case(connection, "close") && is_idle();
  return end;
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

http_end http_connection::wait(short events, const http_limits& limits) const {
  const base::duration left = limits.deadline - limits.clock();
  if (left <= base::duration::zero()) {
    return http_end::timed_out;
  }
  const int ready = wait_for(socket_.descriptor(), events, left);
  if (ready == 0) {
    return http_end::timed_out;
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
  const bool again = count < 0 && (errno == EAGAIN || errno == EINTR);
  return count > 0 || again ? http_end::whole : http_end::broken;
}

http_end http_connection::read_line(std::string& line, const http_limits& limits) {
  while (true) {
    const auto end = buffer_.find("\r\n");
    if (end != std::string::npos) {
      line = buffer_.substr(0, end);
      buffer_.erase(0, end + 2);
      return http_end::whole;
    }
    if (buffer_.size() > max_line_bytes) {
      return http_end::broken;
    }
    const http_end more = read_more(limits);
    if (more != http_end::whole) {
      return more;
    }
  }
}

http_end http_connection::read_exactly(std::uint64_t size,
                                       std::string& into,
                                       const http_limits& limits) {
  if (size > limits.max_body_bytes || into.size() + size > limits.max_body_bytes) {
    return http_end::broken;
  }
  while (size > 0) {
    const std::size_t taken = std::min<std::uint64_t>(size, buffer_.size());
    into.append(buffer_, 0, taken);
    buffer_.erase(0, taken);
    size -= taken;
    const http_end more = size > 0 ? read_more(limits) : http_end::whole;
    if (more != http_end::whole) {
      return more;
    }
  }
  return http_end::whole;
}

http_end http_connection::read_head(http_response& response, const http_limits& limits) {
  std::string line;
  const http_end end = read_line(line, limits);
  if (end != http_end::whole) {
    return end;
  }
  constexpr std::size_t version_length = 9;  // "HTTP/1.1 "
  constexpr std::size_t status_length = 3;
  const std::string version = line.substr(0, std::min(version_length, line.size()));
  version_1_1_ = version == "HTTP/1.1 ";
  if (!version_1_1_ && version != "HTTP/1.0 ") {
    return http_end::broken;
  }
  const std::string rest = line.substr(version_length);
  const auto status = parse_number(rest.substr(0, status_length), 10);
  if (!status || *status < 100 || (rest.size() > status_length && rest[status_length] != ' ')) {
    return http_end::broken;
  }
  response.status = static_cast<int>(*status);
  return read_headers(response.headers, limits);
}

http_end http_connection::read_headers(http_headers& headers, const http_limits& limits) {
  std::string line;
  for (std::size_t count = 0; count <= max_headers; ++count) {
    const http_end end = read_line(line, limits);
    if (end != http_end::whole || line.empty()) {
      return end;
    }
    const auto colon = line.find(':');
    const std::string name = line.substr(0, colon);
    if (colon == std::string::npos || name.empty() ||
        name.find_first_of(" \t") != std::string::npos) {
      return http_end::broken;
    }
    headers.emplace_back(name, trimmed(line.substr(colon + 1)));
  }
  return http_end::broken;
}

http_end http_connection::read_body(bool has_body,
                                    http_response& response,
                                    const http_limits& limits) {
  if (!has_body || response.status == status_no_content || response.status == status_not_modified) {
    return http_end::whole;
  }
  const std::size_t lengths = count_headers(response.headers, "Content-Length");
  const std::size_t encodings = count_headers(response.headers, "Transfer-Encoding");
  if (lengths + encodings != 1) {
    return http_end::broken;
  }
  if (encodings == 1) {
    return equals_ignoring_case(*find_header(response.headers, "Transfer-Encoding"), "chunked")
               ? read_chunks(response, limits)
               : http_end::broken;
  }
  const auto length = parse_number(*find_header(response.headers, "Content-Length"), 10);
  return length ? read_exactly(*length, response.body, limits) : http_end::broken;
}

http_end http_connection::read_chunks(http_response& response, const http_limits& limits) {
  constexpr int hexadecimal = 16;
  while (true) {
    std::string line;
    http_end end = read_line(line, limits);
    if (end != http_end::whole) {
      return end;
    }
    const auto size = parse_number(trimmed(line.substr(0, line.find(';'))), hexadecimal);
    if (!size) {
      return http_end::broken;
    }
    if (*size == 0) {
      http_headers trailers;
      return read_headers(trailers, limits);
    }
    end = read_exactly(*size, response.body, limits);
    if (end == http_end::whole) {
      end = read_line(line, limits);
    }
    if (end != http_end::whole || !line.empty()) {
      return end == http_end::whole ? http_end::broken : end;
    }
  }
}

}  // namespace catkintack::net
