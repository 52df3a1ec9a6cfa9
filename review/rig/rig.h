// Stand-ins for a small deployment on loopback addresses: the platform's store, servers and clients,
// and the start of the gateway processes under test. They follow the users' pages (PROTOCOL.md);
// each case adds the disruption that it is about.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using nlohmann::json;
using clock = std::chrono::steady_clock;

inline const clock::time_point process_start = clock::now();
inline double now_s() { return std::chrono::duration<double>(clock::now() - process_start).count(); }
inline void sleep_ms(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// Lines of record.txt: seconds since the start, then the text.
class Record {
 public:
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%9.3f ", now_s());
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
inline Record record;

inline bool iequal(const std::string& a, const std::string& b) {
  return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

struct Message {
  std::string first;   // Method or version.
  std::string second;  // Target or status.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool complete = false;  // The end of the body was seen.

  std::string header(const std::string& name) const {
    for (const auto& [key, value] : headers)
      if (iequal(key, name)) return value;
    return "";
  }
  bool has(const std::string& name) const {
    for (const auto& one : headers)
      if (iequal(one.first, name)) return true;
    return false;
  }
  int status() const { return std::atoi(second.c_str()); }
};

// A blocking connection with a time limit for each read.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { close(); }

  int fd() const { return fd_; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void reset() {
    linger hard{1, 0};
    if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
  }
  bool send(const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
      const ssize_t n = ::send(fd_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads more bytes into the buffer; false at the end, on an error or after the limit.
  bool fill(double limit_ms) {
    pollfd one{fd_, POLLIN, 0};
    const int ready = ::poll(&one, 1, limit_ms < 0 ? -1 : static_cast<int>(limit_ms) + 1);
    if (ready <= 0) {
      timed_out = ready == 0;
      return false;
    }
    char block[65536];
    const ssize_t n = ::recv(fd_, block, sizeof block, 0);
    if (n <= 0) {
      reset_by_peer = n < 0;
      return false;
    }
    buffer.append(block, static_cast<std::size_t>(n));
    return true;
  }
  bool peer_closed() {
    char byte;
    const ssize_t n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  // Reads a message. A response without a length ends with the connection.
  std::optional<Message> read(double limit_ms, bool response = false, bool no_body = false) {
    const auto until = clock::now() + std::chrono::duration<double, std::milli>(limit_ms);
    const auto left = [&] {
      return std::max(
          0.0, std::chrono::duration<double, std::milli>(until - clock::now()).count());
    };
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(left())) return std::nullopt;
    Message message;
    std::size_t at = buffer.find("\r\n");
    const std::string start = buffer.substr(0, at);
    const std::size_t space = start.find(' ');
    message.first = start.substr(0, space);
    message.second = start.substr(space + 1, start.find(' ', space + 1) - space - 1);
    while (at < end) {
      const std::size_t next = buffer.find("\r\n", at + 2);
      const std::string line = buffer.substr(at + 2, next - at - 2);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') ++value;
        message.headers.emplace_back(line.substr(0, colon), line.substr(value));
      }
      at = next;
    }
    buffer.erase(0, end + 4);
    const std::string coding = message.header("Transfer-Encoding");
    if (no_body) {
      message.complete = true;
    } else if (iequal(coding, "chunked")) {
      for (;;) {
        std::size_t line;
        while ((line = buffer.find("\r\n")) == std::string::npos)
          if (!fill(left())) return message;
        const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
        while (buffer.size() < line + 2 + size + 2)
          if (!fill(left())) return message;
        message.body.append(buffer, line + 2, size);
        buffer.erase(0, line + 2 + size + 2);
        if (size == 0) break;
      }
      message.complete = true;
    } else if (message.has("Content-Length")) {
      const std::size_t size = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
      while (buffer.size() < size)
        if (!fill(left())) {
          message.body = buffer;
          return message;
        }
      message.body = buffer.substr(0, size);
      buffer.erase(0, size);
      message.complete = true;
    } else if (response) {
      while (fill(left())) {
      }
      message.body = std::move(buffer);
      buffer.clear();
      message.complete = !timed_out && !reset_by_peer;
    } else {
      message.complete = true;
    }
    return message;
  }

  std::string buffer;
  bool timed_out = false;
  bool reset_by_peer = false;

 private:
  int fd_;
};

inline sockaddr_in make_address(const std::string& ip, int port) {
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &where.sin_addr);
  return where;
}

inline std::unique_ptr<Connection> connect_to(const std::string& ip, int port,
                                              double limit_ms = 1000) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{static_cast<time_t>(limit_ms / 1000),
                static_cast<suseconds_t>(static_cast<long>(limit_ms * 1000) % 1000000)};
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in where = make_address(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
    ::close(fd);
    return nullptr;
  }
  timeval none{30, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof none);
  return std::make_unique<Connection>(fd);
}

// Accepts connections and serves each on a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;
  // Port 0 chooses a free one. Returns the port.
  int open(const std::string& ip, int port, Handler handler) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in where = make_address(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof where) != 0 ||
        ::listen(fd, 1024) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    socklen_t size = sizeof where;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size);
    fd_ = fd;
    state_ = std::make_shared<State>();
    std::thread([fd, handler, state = state_] {
      for (;;) {
        const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          if (errno == EMFILE || errno == EINTR || errno == ECONNABORTED) {
            sleep_ms(5);
            continue;
          }
          return;
        }
        {
          std::lock_guard lock(state->mutex);
          if (state->crashed) {
            ::close(accepted);
            return;
          }
          state->open.insert(accepted);
        }
        std::thread([accepted, handler, state] {
          Connection connection(accepted);
          handler(connection);
          std::lock_guard lock(state->mutex);
          state->open.erase(accepted);
          connection.close();
        }).detach();
      }
    }).detach();
    return ntohs(where.sin_port);
  }
  // Ends as a killed process does: connections are reset, new ones refused.
  void crash() {
    std::lock_guard lock(state_->mutex);
    state_->crashed = true;
    ::shutdown(fd_, SHUT_RDWR);
    ::close(fd_);
    for (const int one : state_->open) {
      linger hard{1, 0};
      ::setsockopt(one, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      ::shutdown(one, SHUT_RDWR);
    }
  }

 private:
  struct State {
    std::mutex mutex;
    std::set<int> open;
    bool crashed = false;
  };
  std::shared_ptr<State> state_;
  int fd_ = -1;
};

inline std::string reply(int status, const std::string& reason,
                         const std::vector<std::pair<std::string, std::string>>& headers,
                         const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

inline std::string base64(const std::string& bytes) {
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t j = 0; j < 3; ++j)
      word = word << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    for (std::size_t j = 0; j < 4; ++j)
      text += i + j > bytes.size() ? '=' : digits[word >> (18 - 6 * j) & 63];
  }
  return text;
}

inline std::string query_value(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, next - at - 1);
    if (pair.rfind(name + "=", 0) == 0) {
      std::string text;
      for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
        if (pair[i] == '%') {
          text += static_cast<char>(std::strtoul(pair.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          text += pair[i];
        }
      }
      return text;
    }
    at = next;
  }
  return "";
}

// The platform's store: items, one revision counter, watches and conditional writes. Each gateway
// host reaches it at a port of its own, so that it can turn single hosts away.
class Store {
 public:
  enum class Mode { serving, refusing };  // refusing: each call gets 503, nothing is done.
  static constexpr double answer_ms = 4;
  static constexpr std::size_t page_items = 500;
  static constexpr std::size_t page_bytes = 1000000;
  double history_s = 20;

  // Returns the port for one host.
  int open(const std::string& ip, const std::string& host) {
    listeners_.push_back(std::make_unique<Listener>());
    return listeners_.back()->open(ip, 0, [this, host](Connection& c) { serve(c, host); });
  }
  void put(const std::string& key, const std::string& value) {
    std::lock_guard lock(mutex_);
    items_[key] = {value, ++revision_};
    append({key, value, revision_, false, clock::now()});
  }
  void remove(const std::string& key) {
    std::lock_guard lock(mutex_);
    if (items_.erase(key)) append({key, "", ++revision_, true, clock::now()});
  }
  void set_mode(const std::string& host, Mode mode) {
    std::lock_guard lock(mutex_);
    modes_[host] = mode;
    changed_.notify_all();
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision;
  };
  struct Event {
    std::string key, value;
    std::uint64_t revision;
    bool deleted;
    clock::time_point at;
  };

  void append(Event event) {
    history_.push_back(std::move(event));
    const auto oldest = clock::now() - std::chrono::duration<double>(history_s);
    while (!history_.empty() && history_.front().at < oldest) {
      dropped_ = history_.front().revision;
      history_.pop_front();
    }
    changed_.notify_all();
  }
  void expire_history() {
    const auto oldest = clock::now() - std::chrono::duration<double>(history_s);
    while (!history_.empty() && history_.front().at < oldest) {
      dropped_ = history_.front().revision;
      history_.pop_front();
    }
  }
  bool refuses(const std::string& host) { return modes_[host] == Mode::refusing; }

  static json to_json(const std::string& key, const std::string& value, std::uint64_t revision) {
    return {{"key", key}, {"value", base64(value)}, {"revision", revision},
            {"created-at", revision}, {"lease", 0}};
  }
  std::string answer(int status, const json& body) {
    return reply(status, "-", {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                 body.dump());
  }
  std::string range(const std::string& target) {
    const std::string prefix = query_value(target, "prefix"), after = query_value(target, "after");
    json items = json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (auto at = items_.lower_bound(std::max(prefix, after)); at != items_.end(); ++at) {
      if (at->first.rfind(prefix, 0) != 0) {
        if (at->first > prefix) break;
        continue;
      }
      if (!after.empty() && at->first <= after) continue;
      if (items.size() >= page_items || (bytes > 0 && bytes + at->second.value.size() > page_bytes)) {
        more = true;
        break;
      }
      bytes += at->second.value.size();
      items.push_back(to_json(at->first, at->second.value, at->second.revision));
    }
    return answer(200, {{"items", items}, {"has-more", more}, {"store-revision", revision_}});
  }
  std::optional<std::string> watch(const std::string& target, const std::string& host,
                                   std::unique_lock<std::mutex>& lock) {
    const std::string prefix = query_value(target, "prefix");
    const std::uint64_t after = std::strtoull(query_value(target, "after").c_str(), nullptr, 10);
    const double wait = std::min(30000.0, std::atof(query_value(target, "wait-ms").c_str()));
    const auto until = clock::now() + std::chrono::duration<double, std::milli>(wait);
    for (;;) {
      if (refuses(host)) return std::nullopt;
      expire_history();
      if (after < dropped_) return answer(410, json::object());
      json events = json::array();
      for (const Event& one : history_) {
        if (one.revision <= after || one.key.rfind(prefix, 0) != 0) continue;
        if (one.deleted)
          events.push_back({{"key", one.key}, {"revision", one.revision}, {"deleted", true}});
        else
          events.push_back(to_json(one.key, one.value, one.revision));
      }
      if (!events.empty() || clock::now() >= until)
        return answer(200, {{"events", events}, {"store-revision", revision_}});
      changed_.wait_until(lock, until);
    }
  }
  std::string txn(const std::string& text) {
    const json body = json::parse(text);
    json failed = json::array();
    bool holds = true;
    for (const json& row : body.at("precondition")) {
      const std::string key = row.at("key");
      const auto found = items_.find(key);
      const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
      holds = holds && revision == row.at("revision").get<std::uint64_t>();
      if (found != items_.end()) failed.push_back(to_json(key, found->second.value, revision));
    }
    if (!holds) return answer(412, {{"items", failed}});
    ++revision_;
    for (const json& one : body.at("writes")) {
      const std::string key = one.at("key");
      const std::string value = decode(one.at("value"));
      items_[key] = {value, revision_};
      append({key, value, revision_, false, clock::now()});
    }
    for (const json& one : body.at("remove")) {
      const std::string key = one;
      if (items_.erase(key)) append({key, "", revision_, true, clock::now()});
    }
    return answer(200, {{"revision", revision_}});
  }
  static std::string decode(const std::string& text) {
    std::string bytes;
    std::uint32_t word = 0;
    int bits = 0;
    for (const char c : text) {
      int digit;
      if (c >= 'A' && c <= 'Z') digit = c - 'A';
      else if (c >= 'a' && c <= 'z') digit = c - 'a' + 26;
      else if (c >= '0' && c <= '9') digit = c - '0' + 52;
      else if (c == '+') digit = 62;
      else if (c == '/') digit = 63;
      else break;
      word = word << 6 | static_cast<std::uint32_t>(digit);
      if ((bits += 6) >= 8) bytes += static_cast<char>(word >> (bits -= 8) & 255);
    }
    return bytes;
  }
  void serve(Connection& connection, const std::string& host) {
    while (auto request = connection.read(600000)) {
      sleep_ms(answer_ms);
      const std::string path = request->second.substr(0, request->second.find('?'));
      std::string text;
      {
        std::unique_lock lock(mutex_);
        std::optional<std::string> result;
        if (!refuses(host)) {
          if (path == "/api/kv-range") result = range(request->second);
          else if (path == "/api/kv-watch") result = watch(request->second, host, lock);
          else if (path == "/api/kv-txn") result = txn(request->body);
          else result = answer(404, json::object());
        }
        text = result.value_or(reply(503, "-", {{"Store-Era", "1"}}, ""));
      }
      if (!connection.send(text)) return;
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::uint64_t revision_ = 100;
  std::uint64_t dropped_ = 0;
  std::map<std::string, Mode> modes_;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

// A server ("endpoint") with slots and a short queue. It reads a request whole, then turns it away
// (503 with the header that says so) or runs it.
class Server {
 public:
  struct Options {
    std::string id, ip = "127.0.2.1", service, zone;
    int slots = 2, queue = 4;
    double work_ms = 30;
    bool tells_load = true;
  };
  enum class Verdict { run, shed, run_and_reset, run_and_close };
  // Decides about a request that was read whole; the default runs it.
  std::function<Verdict(const Message&)> verdict = [](const Message&) { return Verdict::run; };
  // Called when the server begins to work on a request.
  std::function<void(const Server&, const Message&)> on_run = [](const Server&, const Message&) {};
  std::function<std::string(const Message&)> make_body = [](const Message& m) {
    return "done " + m.header("Catkintack-Request-Id") + "\n";
  };

  explicit Server(Options options) : options(std::move(options)) {}
  void open() { port = listener_.open(options.ip, port, [this](Connection& c) { serve(c); }); }
  // Ends without a word. A later open() starts a new boot at the same address.
  void crash() {
    ++boot_;
    listener_.crash();
    std::lock_guard lock(mutex_);
    born += 60000;
  }
  std::string entry(const std::string& state = "ready") const {
    return json{{"address", options.ip + ":" + std::to_string(port)},
                {"born", born},
                {"info",
                 {{"service", options.service}, {"version", "v1"}, {"zone", options.zone},
                  {"slots", options.slots}}},
                {"status", {{"state", state}, {"sequence", 4}, {"warmup-left", "0ms"}}}}
        .dump();
  }
  std::string key() const { return "servers/" + options.id; }

  Options options;
  int port = 0;
  std::uint64_t born = 1700000000000;

 private:
  using Headers = std::vector<std::pair<std::string, std::string>>;
  std::string load() {
    std::lock_guard lock(mutex_);
    return std::to_string(running_) + "," + std::to_string(waiting_) + "," +
           std::to_string(options.slots) + ",100";
  }
  bool enter() {
    std::unique_lock lock(mutex_);
    if (running_ >= options.slots) {
      if (waiting_ >= options.queue) return false;
      ++waiting_;
      free_.wait(lock, [&] { return running_ < options.slots; });
      --waiting_;
    }
    ++running_;
    return true;
  }
  void leave() {
    std::lock_guard lock(mutex_);
    --running_;
    free_.notify_one();
  }
  void serve(Connection& connection) {
    const int boot = boot_;
    while (auto request = connection.read(600000)) {
      if (!request->complete || boot != boot_) return;
      Headers headers;
      if (options.tells_load) headers.emplace_back("Catkintack-Server-Load", load());
      if (request->second == "/health") {
        headers.emplace_back("Catkintack-Instance-Id", options.id);
        if (!connection.send(reply(200, "OK", headers, ""))) return;
        continue;
      }
      const std::string id = request->header("Catkintack-Request-Id");
      if (!id.empty()) headers.emplace_back("Catkintack-Request-Id", id);
      const std::string expected = request->header("Catkintack-Expect-Instance");
      if (!expected.empty() && expected != options.id) {
        headers.emplace_back("Catkintack-Instance-Id", options.id);
        if (!connection.send(reply(421, "Misdirected Request", headers, ""))) return;
        continue;
      }
      const Verdict decided = verdict(*request);
      if (decided == Verdict::shed || !enter()) {
        record.line("%s sheds %s (body %zu bytes)", options.id.c_str(), id.c_str(),
                    request->body.size());
        headers.emplace_back("Catkintack-Not-Executed", "1");
        if (!connection.send(reply(503, "Service Unavailable", headers, ""))) return;
        continue;
      }
      on_run(*this, *request);
      sleep_ms(options.work_ms);
      leave();
      if (boot != boot_) return;
      if (decided == Verdict::run_and_reset) {
        connection.reset();
        return;
      }
      if (decided == Verdict::run_and_close) return;
      headers.emplace_back("Catkintack-Response-Stamp", "3e1b.07.5a2.600.0." + options.id);
      if (!connection.send(reply(200, "OK", headers, make_body(*request)))) return;
    }
  }

  Listener listener_;
  std::mutex mutex_;
  std::condition_variable free_;
  int running_ = 0, waiting_ = 0;
  std::atomic<int> boot_ = 0;
};

// A gateway host: the program of the deploy file with settings as the platform fills them in.
struct Host {
  std::string name, ip, zone, region;
  int callers = 0, readiness = 0, peers = 0, permits = 0, relays = 0;
  std::string store;  // IP:PORT
  pid_t pid = -1;
};

class Deployment {
 public:
  Deployment(std::string program, std::string directory)
      : program_(std::move(program)), directory_(std::move(directory)) {}
  ~Deployment() { stop_all(); }

  std::vector<Host> hosts;
  std::vector<std::pair<std::string, std::string>> zones;  // Zone and its region.
  std::map<std::string, std::string> bounds = {
      {"config-apply", "2000ms"}, {"drain", "2000ms"},  {"grace", "6s"},
      {"retry-budget-ratio", "0.2"}, {"budget-slack", "62"}, {"retry-window", "10s"},
      {"evacuation", ""}, {"quota-window", ""}, {"quota-overshoot", ""}, {"quota-slack", ""}};
  std::size_t seed_count = 3;

  // Ports are the same on all hosts, each of which has a loopback address of its own.
  void choose_ports() {
    std::mt19937 random(std::random_device{}());
    for (int tries = 0; tries < 200; ++tries) {
      const int base = 20000 + static_cast<int>(random() % 10000);
      bool free = true;
      for (const Host& host : hosts)
        for (int i = 0; i < 7 && free; ++i)
          free = can_bind(host.ip, base + i, SOCK_STREAM) && can_bind(host.ip, base + i, SOCK_DGRAM);
      if (!free) continue;
      for (Host& host : hosts) {
        host.callers = base;
        host.readiness = base + 1;
        host.peers = base + 2;
        host.permits = base + 3;
        host.relays = base + 4;
      }
      return;
    }
    std::fprintf(stderr, "no free ports\n");
    std::exit(2);
  }
  void start(Host& host, bool first_start) {
    const std::string path = directory_ + "/" + host.name + ".ini";
    write_settings(host, first_start, path);
    const std::string log = directory_ + "/" + host.name + ".log";
    const std::string variable = "CATKINTACK_NODE_FILE=" + path;
    const char* const environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
    const pid_t pid = ::fork();
    if (pid == 0) {
      // Only calls that are safe between fork and exec, as other threads run.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execle(program_.c_str(), program_.c_str(), static_cast<char*>(nullptr), environment);
      ::_exit(127);
    }
    host.pid = pid;
    record.line("%s started", host.name.c_str());
  }
  // Whether the process has ended by itself.
  bool ended(Host& host, int& status) {
    return host.pid > 0 && ::waitpid(host.pid, &status, WNOHANG) == host.pid;
  }
  bool ready(const Host& host) const {
    const auto connection = connect_to(host.ip, host.readiness, 300);
    if (!connection || !connection->send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n"))
      return false;
    const auto answer = connection->read(500, true);
    return answer && answer->status() == 200;
  }
  bool wait_until_ready(double limit_s = 20) const {
    const double until = now_s() + limit_s;
    for (const Host& host : hosts)
      while (!ready(host)) {
        if (now_s() > until) return false;
        sleep_ms(50);
      }
    return true;
  }
  void stop_all() {
    for (Host& host : hosts)
      if (host.pid > 0) {
        ::kill(host.pid, SIGCONT);
        ::kill(host.pid, SIGKILL);
        int status;
        ::waitpid(host.pid, &status, 0);
        host.pid = -1;
      }
  }

 private:
  static bool can_bind(const std::string& ip, int port, int type) {
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in where = make_address(ip, port);
    const bool bound =
        ::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0;
    ::close(fd);
    return bound;
  }
  void write_settings(const Host& host, bool first_start, const std::string& path) {
    const auto at = [&](int port) { return host.ip + ":" + std::to_string(port); };
    std::string text = "[host]\nid = " + host.name + "\nregion = " + host.region +
                       "\nfailure_domain = " + host.zone +
                       "\nfirst_start = " + (first_start ? "true" : "false") + "\n\n[regions]\n";
    for (const auto& [zone, region] : zones) text += zone + " = " + region + "\n";
    text += "\n[listen]\ncallers = " + at(host.callers) + "\nreadiness = " + at(host.readiness) +
            "\npeers = " + at(host.peers) + "\npermits = " + at(host.permits) +
            "\nrelays = " + at(host.relays) + "\n\n[registry]\naddress = " + host.store +
            "\nedits_due = " + bounds["config-apply"] + "\n\n[peers]\nseeds = ";
    for (std::size_t i = 0; i < std::min(seed_count, hosts.size()); ++i)
      text += (i ? "," : "") + hosts[i].ip + ":" + std::to_string(hosts[i].peers);
    text += "\n\n[repeats]\nratio = " + bounds["retry-budget-ratio"] +
            "\nslack = " + bounds["budget-slack"] + "\nwindow = " + bounds["retry-window"] +
            "\n\n[upstreams]\nleaving_limit = " + bounds["drain"] +
            "\nevacuation_limit = " + bounds["evacuation"] + "\n\n[customers]\nwindow = " +
            bounds["quota-window"] + "\novershoot = " + bounds["quota-overshoot"] +
            "\nslack = " + bounds["quota-slack"] + "\n\n[stop]\nlimit = " + bounds["grace"] + "\n";
    std::FILE* file = std::fopen(path.c_str(), "w");
    std::fwrite(text.data(), 1, text.size(), file);
    std::fclose(file);
  }

  std::string program_, directory_;
};

inline std::string random_id() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  std::lock_guard lock(mutex);
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

// The zones, hosts and servers of a small deployment in one region.
class Site {
 public:
  Site(const std::string& program, const std::string& directory) : deployment(program, directory) {}

  void add_hosts(int count) {
    deployment.zones = {{"ros-norte", "rosario"}, {"ros-sur", "rosario"}, {"ros-centro", "rosario"}};
    for (int i = 0; i < count; ++i) {
      Host host;
      host.name = "front-" + std::to_string(i + 1);
      host.ip = "127.0.1." + std::to_string(i + 1);
      host.zone = zone(i);
      host.region = "rosario";
      host.store = "127.0.0.1:" + std::to_string(store.open("127.0.0.1", host.name));
      deployment.hosts.push_back(host);
    }
    deployment.choose_ports();
  }
  Server& add_server(const std::string& service, int number, int slots = 3, int queue = 6,
                     double work_ms = 30) {
    Server::Options options;
    options.id = "i-" + random_id().substr(0, 8);
    options.service = service;
    options.zone = zone(number);
    options.slots = slots;
    options.queue = queue;
    options.work_ms = work_ms;
    servers.push_back(std::make_unique<Server>(options));
    return *servers.back();
  }
  std::string zone(int number) const {
    return deployment.zones[static_cast<std::size_t>(number) % deployment.zones.size()].first;
  }
  void open_servers() {
    for (const auto& server : servers) {
      server->open();
      store.put(server->key(), server->entry());
    }
  }
  bool start() {
    for (Host& host : deployment.hosts) deployment.start(host, true);
    return deployment.wait_until_ready();
  }

  Store store;
  Deployment deployment;
  std::vector<std::unique_ptr<Server>> servers;
};

// Makes a config as the operator writes it.
class Config {
 public:
  explicit Config(std::uint64_t version) : version_(version) {}
  Config& service(const std::string& name) {
    services_.push_back({{"name", name}, {"health-path", "/health"}, {"max-connections", 260},
                         {"protocol", "h1"}, {"tls", false}});
    return *this;
  }
  Config& route(const std::string& host, const std::string& prefix, const std::string& service,
                const std::string& kind, const std::string& timeout, const std::string& target,
                int max_attempts = 2) {
    paths_[host].push_back({{"name", "r-" + prefix.substr(1, prefix.size() - 2)},
                            {"prefix", prefix}, {"kind", kind}, {"timeout", timeout},
                            {"target-latency", target}, {"priority", 1}, {"service", service},
                            {"max-attempts", max_attempts}});
    return *this;
  }
  std::string text() const {
    json hosts = json::array();
    for (const auto& [host, paths] : paths_) hosts.push_back({{"host", host}, {"paths", paths}});
    char version[16];
    std::snprintf(version, sizeof version, "%08llx", static_cast<unsigned long long>(version_));
    return json{{"version", version},
                {"services", services_},
                {"limits",
                 {{"max-header-bytes", 16384}, {"max-body-bytes", 67108864},
                  {"header-timeout", "3000ms"}, {"idle-timeout", "15000ms"}}},
                {"virtual-hosts", hosts}}
        .dump();
  }

 private:
  std::uint64_t version_;
  json services_ = json::array();
  std::map<std::string, json> paths_;
};

struct Request {
  std::string method = "GET", target, host, id;
  long deadline_ms = 4000;
  std::string body;
  bool chunked = false;
  std::size_t chunk_bytes = 16384;
  std::vector<std::pair<std::string, std::string>> headers;

  std::string head() const {
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                       "\r\nCatkintack-Request-Id: " + id +
                       "\r\nCatkintack-Request-Deadline-Ms: " + std::to_string(deadline_ms) +
                       "\r\n";
    for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
    if (chunked) text += "Transfer-Encoding: chunked\r\n";
    else if (!body.empty() || method == "POST")
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n";
  }
  std::string coded_body() const {
    if (!chunked) return body;
    std::string text;
    for (std::size_t at = 0; at < body.size(); at += chunk_bytes) {
      const std::string piece = body.substr(at, chunk_bytes);
      char size[32];
      std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
      text += size + piece + "\r\n";
    }
    return text + "0\r\n\r\n";
  }
};

// Sends a request on a connection and reads the answer until a second past the time limit.
inline std::optional<Message> exchange(Connection& connection, const Request& request) {
  if (!connection.send(request.head() + request.coded_body())) {
    // The answer may have come before the body was read.
  }
  return connection.read(static_cast<double>(request.deadline_ms) + 1000, true,
                         request.method == "HEAD");
}

inline std::uint64_t hash_of(const std::string& bytes) {
  std::uint64_t hash = 1469598103934665603ULL;
  for (const char c : bytes) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return hash;
}

inline bool trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Arguments of a case: the program under test, a temporary folder, the path of record.txt.
struct Arguments {
  std::string program, directory, record_path;
};
inline Arguments parse_arguments(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s PROGRAM FOLDER RECORD\n", argv[0]);
    std::exit(2);
  }
  ::signal(SIGPIPE, SIG_IGN);
  record.open(argv[3]);
  return {argv[1], argv[2], argv[3]};
}

}  // namespace rig
