// Stand-ins for the cases of the second review: the platform's store, endpoints, requesters, and a
// TCP proxy, in one process; the gateway hosts run as processes of their own. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;
using clock = std::chrono::steady_clock;

inline const clock::time_point started_at = clock::now();
inline double now_s() { return std::chrono::duration<double>(clock::now() - started_at).count(); }
inline void sleep_s(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}
inline void sleep_until_s(double at) { sleep_s(at - now_s()); }

// ---- The record: what was sent, answered and run.

class record_file {
 public:
  explicit record_file(const std::string& path) : out_(path, std::ios::trunc) {}
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard guard(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.4f ", now_s());
    out_ << time << text << "\n";
  }
  void say(const std::string& text) {
    line("%s", text.c_str());
    const std::lock_guard guard(mutex_);
    out_.flush();
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// ---- Sockets and HTTP/1.1.

inline sockaddr_in make_address(const std::string& ip, int port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
  return result;
}

inline bool can_bind(const std::string& ip, int port, int type) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in where = make_address(ip, port);
  const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) == 0;
  ::close(fd);
  return free;
}

// Ports that are free on all addresses, for TCP and UDP.
inline int free_port(const std::vector<std::string>& ips) {
  static std::mt19937 random(std::random_device{}());
  static std::set<int> taken;
  for (;;) {
    const int port = 11000 + static_cast<int>(random() % 18000);
    bool free = !taken.contains(port);
    for (const std::string& ip : ips) {
      free = free && can_bind(ip, port, SOCK_STREAM) && can_bind(ip, port, SOCK_DGRAM);
    }
    if (free) {
      taken.insert(port);
      return port;
    }
  }
}

inline int listen_on(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in where = make_address(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) != 0 ||
      ::listen(fd, 1024) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  return fd;
}

inline int connect_to(const std::string& ip, int port, double timeout_s = 1.0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in where = make_address(ip, port);
  int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where));
  if (result != 0 && errno == EINPROGRESS) {
    pollfd one{fd, POLLOUT, 0};
    int error = 1;
    socklen_t size = sizeof(error);
    if (::poll(&one, 1, static_cast<int>(timeout_s * 1000)) == 1) {
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    result = error;
  }
  if (result != 0) {
    ::close(fd);
    return -1;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline void reset(int fd) {
  const linger hard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  ::close(fd);
}

struct message {
  std::string start;  // Request line or status line.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const auto first = start.find(' ');
    return start.substr(first + 1, start.rfind(' ') - first - 1);
  }
  int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

class connection {
 public:
  explicit connection(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~connection() { close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  int fd() const { return fd_; }
  bool open() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) {
      ::close(fd_);
      fd_ = -1;
    }
  }
  void reset() {
    if (fd_ >= 0) {
      rig::reset(fd_);
      fd_ = -1;
    }
  }
  bool send(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t count = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  // Waits until bytes or the end of the stream can be read.
  bool readable(double timeout_s) {
    if (!buffer_.empty()) {
      return true;
    }
    pollfd one{fd_, POLLIN, 0};
    return ::poll(&one, 1, static_cast<int>(std::max(0.0, timeout_s) * 1000)) == 1;
  }
  // Reads one message. Returns false at the end of the stream, an error or the time limit.
  bool read(message& result, double until, bool is_response = false, bool no_body = false) {
    result = {};
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(until)) {
        return false;
      }
    }
    std::istringstream head(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::getline(head, result.start);
    if (!result.start.empty() && result.start.back() == '\r') {
      result.start.pop_back();
    }
    for (std::string line; std::getline(head, line);) {
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      std::ranges::transform(name, name.begin(), ::tolower);
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      value.erase(value.find_last_not_of(" \r") + 1);
      result.headers[name] = value;
    }
    if (no_body) {
      return true;
    }
    if (result.header("transfer-encoding") == "chunked") {
      return read_chunks(result.body, until);
    }
    const std::string length = result.header("content-length");
    if (!length.empty()) {
      return take(result.body, std::strtoull(length.c_str(), nullptr, 10), until);
    }
    if (is_response && result.status() != 204 && result.status() != 304) {
      while (fill(until)) {
      }
      result.body = std::exchange(buffer_, "");
    }
    return true;
  }
  const std::string& rest() const { return buffer_; }

 private:
  bool fill(double until) {
    char block[16384];
    pollfd one{fd_, POLLIN, 0};
    const int left = static_cast<int>(std::max(0.0, until - now_s()) * 1000);
    if (::poll(&one, 1, left) != 1) {
      return false;
    }
    const ssize_t count = ::recv(fd_, block, sizeof(block), 0);
    if (count <= 0) {
      return false;
    }
    buffer_.append(block, static_cast<std::size_t>(count));
    return true;
  }
  bool take(std::string& target, std::size_t size, double until) {
    while (buffer_.size() < size) {
      if (!fill(until)) {
        return false;
      }
    }
    target += buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }
  bool read_chunks(std::string& body, double until) {
    for (;;) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!fill(until)) {
          return false;
        }
      }
      const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      std::string crlf;
      if (!take(body, size, until) || !take(crlf, 2, until)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  int fd_;
  std::string buffer_;
};

// Accepts connections on one address; each is served by a thread.
class server {
 public:
  using handler = std::function<void(connection&)>;
  server(std::string ip, int port, handler serve)
      : ip_(std::move(ip)), port_(port), serve_(std::move(serve)), fd_(listen_on(ip_, port_)) {
    thread_ = std::thread([this] { accept_all(); });
  }
  ~server() { stop(); }
  // Ends all connections, as a process does that is killed.
  void stop() {
    if (stopped_.exchange(true)) {
      return;
    }
    ::shutdown(fd_, SHUT_RDWR);
    thread_.join();
    ::close(fd_);
    cut_all(true);
    for (std::thread& one : threads_) {
      one.join();
    }
  }
  void cut_all(bool with_reset = false) {
    const std::lock_guard guard(mutex_);
    for (const int fd : open_) {
      if (with_reset) {
        const linger hard{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
      }
      ::shutdown(fd, SHUT_RDWR);
    }
  }
  const std::string& ip() const { return ip_; }
  int port() const { return port_; }
  bool stopped() const { return stopped_; }

 private:
  void accept_all() {
    while (!stopped_) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (stopped_) {
          return;
        }
        continue;
      }
      const std::lock_guard guard(mutex_);
      open_.insert(fd);
      threads_.emplace_back([this, fd] {
        connection one(fd);
        serve_(one);
        const std::lock_guard inner(mutex_);
        open_.erase(fd);
        one.close();
      });
    }
  }

  std::string ip_;
  int port_;
  handler serve_;
  int fd_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread thread_;
};

inline std::string base64(const std::string& bytes) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned block = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      block = (block << 8U) | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      result += j <= count ? digits[(block >> (18U - 6 * j)) & 63U] : '=';
    }
  }
  return result;
}

inline std::string unbase64(const std::string& text) {
  static const std::string digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  unsigned block = 0;
  int bits = 0;
  for (const char c : text) {
    const auto digit = digits.find(c);
    if (digit == std::string::npos) {
      break;
    }
    block = (block << 6U) | static_cast<unsigned>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      result += static_cast<char>((block >> static_cast<unsigned>(bits)) & 255U);
    }
  }
  return result;
}

inline std::string unescape(const std::string& text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

// Forwards connections to another address. Open ones can go silent for good while new ones work.
class proxy {
 public:
  proxy(const std::string& ip, int port, std::string target_ip, int target_port)
      : target_ip_(std::move(target_ip)),
        target_port_(target_port),
        server_(ip, port, [this](connection& one) { forward(one); }) {}
  // All connections that are open now carry nothing any more, and are not closed.
  void silence_open() { ++generation_; }

 private:
  void forward(connection& client) {
    const int generation = generation_;
    const int fd = connect_to(target_ip_, target_port_);
    if (fd < 0) {
      client.reset();
      return;
    }
    connection target(fd);
    pollfd both[2] = {{client.fd(), POLLIN, 0}, {target.fd(), POLLIN, 0}};
    char block[65536];
    while (!server_.stopped()) {
      if (::poll(both, 2, 20) < 0) {
        return;
      }
      const bool silent = generation != generation_;
      for (int i = 0; i < 2; ++i) {
        if ((both[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) {
          continue;
        }
        const ssize_t count = ::recv(both[i].fd, block, sizeof(block), 0);
        if (count <= 0) {
          if (!silent || i == 0) {
            return;
          }
          both[i].fd = -1;  // The other end does not hear of it.
          continue;
        }
        connection& other = i == 0 ? target : client;
        if (!silent && !other.send(std::string(block, static_cast<std::size_t>(count)))) {
          return;
        }
      }
    }
  }

  std::string target_ip_;
  int target_port_;
  std::atomic<int> generation_ = 0;
  server server_;
};

// ---- The platform's store, as PROTOCOL.md describes it.

class store {
 public:
  // @param history_s How long events are kept for watches, as `history` of the settings says.
  store(const std::string& ip, int port, double history_s = 20)
      : history_s_(history_s), server_(ip, port, [this](connection& one) { serve(one); }) {}
  ~store() {
    {
      const std::lock_guard guard(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    server_.stop();
  }

  // Writes an item for the operator or an endpoint. Returns its revision.
  std::uint64_t put(const std::string& key, const std::string& value) {
    const std::lock_guard guard(mutex_);
    return put_locked(key, value);
  }
  void remove(const std::string& key) {
    const std::lock_guard guard(mutex_);
    remove_locked(key);
  }
  server& listener() { return server_; }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created_at = 0;
  };
  struct event {
    std::string key;
    std::uint64_t revision;
    std::string text;
    double at = now_s();
  };

  json describe(const std::string& key, const item& one) const {
    return {{"key", key}, {"value", base64(one.value)}, {"revision", one.revision},
            {"created-at", one.created_at}, {"lease", 0}};
  }
  std::uint64_t put_locked(const std::string& key, const std::string& value) {
    item& one = items_[key];
    one.value = value;
    one.revision = ++revision_;
    one.created_at = one.created_at == 0 ? one.revision : one.created_at;
    add_event({key, one.revision, describe(key, one).dump()});
    changed_.notify_all();
    return one.revision;
  }
  void remove_locked(const std::string& key) {
    if (items_.erase(key) > 0) {
      ++revision_;
      const json text = {{"key", key}, {"revision", revision_}, {"deleted", true}};
      add_event({key, revision_, text.dump()});
      changed_.notify_all();
    }
  }
  void add_event(event added) {
    history_.push_back(std::move(added));
    while (history_.front().at < now_s() - history_s_) {
      forgotten_ = history_.front().revision;
      history_.pop_front();
    }
  }
  static std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> result;
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
      return result;
    }
    std::istringstream parts(target.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');) {
      const auto equal = part.find('=');
      result[part.substr(0, equal)] =
          equal == std::string::npos ? "" : unescape(part.substr(equal + 1));
    }
    return result;
  }
  static std::string reply(int status, const json& body) { return reply(status, body.dump()); }
  static std::string reply(int status, const std::string& text) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" +
           "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
  }
  std::string range(std::map<std::string, std::string> query) {
    constexpr std::size_t page_items = 500;
    constexpr std::size_t page_bytes = 1U << 20U;
    const std::lock_guard guard(mutex_);
    json items = json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (const auto& [key, one] : items_) {
      if (!key.starts_with(query["prefix"]) || (query.contains("after") && key <= query["after"])) {
        continue;
      }
      if (items.size() >= page_items || (bytes > 0 && bytes + one.value.size() > page_bytes)) {
        more = true;
        break;
      }
      bytes += one.value.size();
      items.push_back(describe(key, one));
    }
    return reply(200, {{"items", items}, {"has-more", more}, {"store-revision", revision_}});
  }
  std::string watch(std::map<std::string, std::string> query) {
    const std::uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
    const auto until =
        clock::now() + std::chrono::milliseconds(std::atoi(query["wait-ms"].c_str()));
    std::unique_lock lock(mutex_);
    std::string events;
    for (;;) {
      if (after < forgotten_) {
        return reply(410, json::object());
      }
      for (const event& one : history_) {
        if (one.revision > after && one.key.starts_with(query["prefix"])) {
          events += (events.empty() ? "" : ",") + one.text;
        }
      }
      if (!events.empty() || stopping_ ||
          changed_.wait_until(lock, until) == std::cv_status::timeout) {
        return reply(200, "{\"events\":[" + events +
                              "],\"store-revision\":" + std::to_string(revision_) + "}");
      }
    }
  }
  std::string transact(const message& request) {
    const json body = json::parse(request.body);
    const std::lock_guard guard(mutex_);
    json conflict = json::array();
    bool holds = true;
    for (const json& row : body.value("precondition", json::array())) {
      const std::string key = row.at("key");
      const auto found = items_.find(key);
      const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
      holds = holds && revision == row.at("revision").get<std::uint64_t>();
      conflict.push_back(found == items_.end() ? json{{"key", key}, {"revision", 0}}
                                               : describe(key, found->second));
    }
    if (!holds) {
      return reply(412, {{"items", conflict}});
    }
    for (const json& row : body.value("writes", json::array())) {
      put_locked(row.at("key"), unbase64(row.at("value").get<std::string>()));
    }
    for (const json& row : body.value("remove", json::array())) {
      remove_locked(row.get<std::string>());
    }
    return reply(200, {{"revision", revision_}});
  }
  void serve(connection& one) {
    message request;
    while (one.read(request, now_s() + 600)) {
      const std::string target = request.target();
      const std::string path = target.substr(0, target.find('?'));
      std::string text;
      if (path == "/api/kv-range") {
        text = range(query_of(target));
      } else if (path == "/api/kv-watch") {
        text = watch(query_of(target));
      } else if (path == "/api/kv-txn") {
        text = transact(request);
      } else {
        text = reply(404, json::object());
      }
      if (!one.send(text)) {
        return;
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::deque<event> history_;
  std::uint64_t revision_ = 1000;
  std::uint64_t forgotten_ = 0;  // The newest revision that is no longer in the history.
  bool stopping_ = false;
  double history_s_;
  server server_;
};

// ---- An endpoint. It reports itself to the store and runs requests.

struct endpoint_options {
  std::string id;
  std::string service;
  std::string zone;
  std::string ip;
  int port = 0;
  int slots = 8;
  double work_s = 0.01;
  std::string health_path = "/health";
};

class endpoint {
 public:
  // Called when a request has run; returns the body of the answer.
  using run_hook = std::function<std::string(endpoint&, const message&)>;
  // Handles a request instead of the default; returns false to close the connection.
  using serve_hook = std::function<bool(endpoint&, connection&, const message&)>;

  endpoint(store& registry, endpoint_options options, run_hook on_run, serve_hook serve_instead = {})
      : options(std::move(options)),
        registry_(registry),
        on_run_(std::move(on_run)),
        serve_hook_(std::move(serve_instead)),
        server_(this->options.ip, this->options.port, [this](connection& one) { serve(one); }) {
    report("ready");
    heartbeat_ = std::thread([this] { beat(); });
  }
  ~endpoint() { stop(); }
  void stop() {
    if (stopped_.exchange(true)) {
      return;
    }
    heartbeat_.join();
    server_.stop();
  }
  void report(const std::string& state) {
    const std::lock_guard guard(mutex_);
    state_ = state;
    registry_.put("servers/" + options.id, entry());
  }
  std::string answer(const message& request, const std::string& body, bool close = false) {
    return "HTTP/1.1 200 OK\r\nCatkintack-Request-Id: " + request.header("catkintack-request-id") +
           "\r\nCatkintack-Response-Stamp: stamp-" + options.id + "\r\n" + load() +
           (close ? "Connection: close\r\n" : "") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::string load() const {
    return "Catkintack-Server-Load: " + std::to_string(running_.load()) + ",0," +
           std::to_string(options.slots) + ",100\r\n";
  }
  std::string run(const message& request) { return on_run_(*this, request); }
  server& listener() { return server_; }

  const endpoint_options options;
  std::atomic<int> running_ = 0;

 private:
  std::string entry() {
    return json{{"address", options.ip + ":" + std::to_string(options.port)},
                {"born", born_},
                {"info",
                 {{"service", options.service},
                  {"version", "v1"},
                  {"zone", options.zone},
                  {"slots", options.slots}}},
                {"status", {{"state", state_}, {"sequence", ++sequence_}, {"warmup-left", "0ms"}}}}
        .dump();
  }
  void beat() {
    for (int i = 0; !stopped_; ++i) {
      sleep_s(0.05);
      if (i % 30 == 29) {
        const std::lock_guard guard(mutex_);
        registry_.put("servers/" + options.id, entry());
      }
    }
  }
  void serve(connection& one) {
    message request;
    while (one.read(request, now_s() + 600)) {
      const std::string path = request.target();
      std::string text;
      if (path == options.health_path) {
        text = "HTTP/1.1 200 OK\r\nCatkintack-Instance-Id: " + options.id + "\r\n" + load() +
               "Content-Length: 0\r\n\r\n";
      } else if (!request.header("catkintack-expect-instance").empty() &&
                 request.header("catkintack-expect-instance") != options.id) {
        text = "HTTP/1.1 421 Misdirected Request\r\nCatkintack-Instance-Id: " + options.id +
               "\r\nCatkintack-Request-Id: " + request.header("catkintack-request-id") +
               "\r\nContent-Length: 0\r\n\r\n";
      } else if (request.header("catkintack-request-id").empty()) {
        text = "HTTP/1.1 400 Bad Request\r\nCatkintack-Not-Executed: 1\r\n"
               "Content-Length: 0\r\n\r\n";
      } else if (serve_hook_) {
        if (!serve_hook_(*this, one, request)) {
          return;
        }
        continue;
      } else {
        ++running_;
        const std::string body = run(request);
        sleep_s(options.work_s);
        --running_;
        text = answer(request, body);
      }
      if (!one.send(text)) {
        return;
      }
    }
  }

  store& registry_;
  run_hook on_run_;
  serve_hook serve_hook_;
  std::mutex mutex_;
  std::string state_ = "ready";
  int sequence_ = 0;
  const std::int64_t born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count();
  std::atomic<bool> stopped_ = false;
  std::thread heartbeat_;
  server server_;
};

// ---- Gateway hosts.

inline std::string make_folder() {
  char pattern[] = "/tmp/catkintack-review-XXXXXX";
  return ::mkdtemp(pattern);
}

// In a child process: it ends with the case, whatever ends the case.
inline void end_with_parent() { ::prctl(PR_SET_PDEATHSIG, SIGKILL); }

struct site {
  std::vector<std::string> host_ips;  // One for each host.
  std::vector<std::string> zones;     // Of each host.
  std::map<std::string, std::string> regions;  // Of each zone.
  std::string store_address;
  std::string quota;  // Lines of the section for customers.
  int front = 0, ready = 0, control = 0, inner_first = 0, inner_last = 0;
  std::string folder = make_folder();  // Settings and logs; removed at the end unless KEEP is set.

  site() = default;
  site(const site&) = delete;
  site& operator=(const site&) = delete;
  ~site() {
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(folder, ignored);
    }
  }
};

inline void choose_ports(site& one) {
  one.front = free_port(one.host_ips);
  one.ready = free_port(one.host_ips);
  one.control = free_port(one.host_ips);
  // A range of internal ports; the port after it is left free too.
  for (;;) {
    one.inner_first = free_port(one.host_ips);
    one.inner_last = one.inner_first + 15;
    bool free = true;
    for (int port = one.inner_first; port <= one.inner_last + 1; ++port) {
      for (const std::string& ip : one.host_ips) {
        free = free && can_bind(ip, port, SOCK_STREAM) && can_bind(ip, port, SOCK_DGRAM);
      }
    }
    if (free) {
      return;
    }
  }
}

class host {
 public:
  host(const site& where, std::size_t number, bool first_start, std::vector<std::size_t> seeds)
      : site_(where), number_(number) {
    write_settings(first_start, std::move(seeds));
  }
  ~host() { kill(); }

  // Fills in deploy/settings.ini as the platform does.
  void write_settings(bool first_start, std::vector<std::size_t> seeds) {
    std::ofstream out(settings());
    out << "[host]\nid = front-" << number_ << "\nregion = "
        << site_.regions.at(site_.zones[number_]) << "\nfailure_domain = " << site_.zones[number_]
        << "\nfirst_start = " << (first_start ? "true" : "false") << "\n\n[regions]\n";
    for (const auto& [zone, region] : site_.regions) {
      out << zone << " = " << region << "\n";
    }
    out << "\n[listen]\ncallers = " << ip() << ":" << site_.front << "\nreadiness = " << ip() << ":"
        << site_.ready << "\npeers = " << ip() << ":" << site_.control << "\npermits = " << ip()
        << ":" << site_.inner_first << "\nrelays = " << ip() << ":" << site_.inner_last
        << "\n\n[registry]\naddress = " << site_.store_address
        << "\nedits_due = 2000ms\n\n[peers]\nseeds = ";
    for (std::size_t i = 0; i < seeds.size(); ++i) {
      out << (i == 0 ? "" : ",") << site_.host_ips[seeds[i]] << ":" << site_.control;
    }
    out << "\n\n[repeats]\nratio = 0.2\nslack = 58\nwindow = 10s\n\n[upstreams]\n"
        << "leaving_limit = 2000ms\n\n[customers]\n" << site_.quota << "\n[stop]\nlimit = 6s\n";
  }
  // Starts the program with the command of the deploy file.
  // @param output Receives standard output and error; -1: a file in the folder.
  void start(const std::string& program, int output = -1) {
    const std::string log = site_.folder + "/front-" + std::to_string(number_) + ".log";
    const std::string variable = "CATKINTACK_NODE_FILE=" + settings();
    pid_ = ::fork();
    if (pid_ == 0) {
      end_with_parent();
      const int out =
          output >= 0 ? output : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      const char* arguments[] = {program.c_str(), nullptr};
      const char* variables[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
      ::execve(program.c_str(), const_cast<char**>(arguments), const_cast<char**>(variables));
      ::_exit(127);
    }
  }
  void signal(int number) {
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }
  void kill() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  // Stops the host as the platform does: SIGTERM, and SIGKILL after the grace time.
  void terminate(double grace_s = 6) {
    signal(SIGTERM);
    const double until = now_s() + grace_s;
    while (now_s() < until && running()) {
      sleep_s(0.02);
    }
    kill();
  }
  bool running() {
    if (pid_ <= 0) {
      return false;
    }
    if (::waitpid(pid_, &exit_status_, WNOHANG) == pid_) {
      pid_ = -1;
      return false;
    }
    return true;
  }
  int exit_status() const { return exit_status_; }
  pid_t pid() const { return pid_; }
  const std::string& ip() const { return site_.host_ips[number_]; }
  std::string settings() const {
    return site_.folder + "/front-" + std::to_string(number_) + ".ini";
  }
  bool ready() {
    const int fd = connect_to(ip(), site_.ready, 0.3);
    if (fd < 0) {
      return false;
    }
    connection one(fd);
    message reply;
    return one.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
           one.read(reply, now_s() + 0.5, true) && reply.status() == 200;
  }

 private:
  const site& site_;
  std::size_t number_;
  pid_t pid_ = -1;
  int exit_status_ = 0;
};

inline bool wait_ready(const std::vector<std::unique_ptr<host>>& hosts, double timeout_s) {
  const double until = now_s() + timeout_s;
  for (const auto& one : hosts) {
    while (!one->ready()) {
      if (now_s() > until) {
        return false;
      }
      sleep_s(0.05);
    }
  }
  return true;
}

inline std::string request_text(const std::string& method, const std::string& host,
                                const std::string& target, const std::string& id, int deadline_ms,
                                const std::string& more = "", const std::string& body = "") {
  return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nCatkintack-Request-Id: " + id +
         "\r\nCatkintack-Request-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + more +
         (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" +
         body;
}

// Sends one request on a connection of its own. Status 0: no whole answer.
inline message call(const std::string& ip, int port, const std::string& text, double timeout_s) {
  message reply;
  const int fd = connect_to(ip, port, 1.0);
  if (fd < 0) {
    return reply;
  }
  connection one(fd);
  message read;
  if (one.send(text) && one.read(read, now_s() + timeout_s, true)) {
    reply = read;
  }
  return reply;
}

}  // namespace rig
