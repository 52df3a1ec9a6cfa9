// Stand-ins and helpers for the scripts of the third review: the platform's store, blocking
// sockets, a record of what was sent, answered and run, and a process of the program under review.
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

#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using clock = std::chrono::steady_clock;

inline clock::time_point& start_time() {
  static clock::time_point start = clock::now();
  return start;
}

inline double now_s() { return std::chrono::duration<double>(clock::now() - start_time()).count(); }

inline void sleep_ms(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// Writes the record of a run.
class record {
 public:
  explicit record(const std::string& path) : file_(path) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", now_s());
    file_ << time << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// A temporary folder, removed by finish().
class scratch_folder {
 public:
  scratch_folder() {
    char name[] = "/tmp/review-3-XXXXXX";
    path_ = ::mkdtemp(name) != nullptr ? name : "";
    current() = this;
  }
  std::string file(const std::string& name) {
    files_.push_back(path_ + "/" + name);
    return files_.back();
  }
  static void remove() {
    if (const scratch_folder* const one = current()) {
      for (const std::string& file : one->files_) {
        ::unlink(file.c_str());
      }
      ::rmdir(one->path_.c_str());
    }
  }

 private:
  static scratch_folder*& current() {
    static scratch_folder* one = nullptr;
    return one;
  }

  std::string path_;
  std::vector<std::string> files_;
};

/// Ends the run without waiting for its threads; child processes end with it.
[[noreturn]] inline void finish(int code) {
  scratch_folder::remove();
  std::fflush(nullptr);
  std::_Exit(code);
}

/// A case that could not run ends with this.
[[noreturn]] inline void cannot_run(record& log, const std::string& why) {
  log.line("CANNOT RUN: " + why);
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  finish(2);
}

// ------------------------------------------------------------------------------------- sockets

inline sockaddr_in loopback(int port, const char* ip = "127.0.0.1") {
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip, &where.sin_addr);
  return where;
}

inline int listen_on(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in where = loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) != 0 ||
      ::listen(fd, 1024) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in where = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool send_all(int fd, std::string_view text) {
  while (!text.empty()) {
    const ssize_t sent = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/// Returns `count` ports in a row that are free for TCP and UDP now.
inline int free_ports(int count) {
  std::random_device seed;
  for (int tries = 0; tries < 200; ++tries) {
    const int first = 10000 + static_cast<int>(seed() % 20000);
    bool free = true;
    for (int port = first; free && port < first + count; ++port) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const sockaddr_in where = loopback(port);
        free = free && ::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) == 0;
        ::close(fd);
      }
    }
    if (free) {
      return first;
    }
  }
  return -1;
}

/// Reads from a blocking socket with a time limit for each read.
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}

  /// @return False at the end of the stream, on an error and after the time limit.
  bool fill(double limit_ms = 30000) {
    pollfd one{fd_, POLLIN, 0};
    if (::poll(&one, 1, static_cast<int>(limit_ms)) <= 0) {
      timed_out = true;
      return false;
    }
    char block[65536];
    const ssize_t got = ::recv(fd_, block, sizeof(block), 0);
    if (got <= 0) {
      reset = got < 0;
      return false;
    }
    buffer.append(block, static_cast<std::size_t>(got));
    return true;
  }
  /// Reads up to and including an empty line; nothing if the stream ends before.
  std::optional<std::string> head(double limit_ms = 30000) {
    for (;;) {
      const std::size_t end = buffer.find("\r\n\r\n");
      if (end != std::string::npos) {
        std::string text = buffer.substr(0, end + 4);
        buffer.erase(0, end + 4);
        return text;
      }
      if (!fill(limit_ms)) {
        return std::nullopt;
      }
    }
  }
  std::optional<std::string> bytes(std::size_t count, double limit_ms = 30000) {
    while (buffer.size() < count) {
      if (!fill(limit_ms)) {
        return std::nullopt;
      }
    }
    std::string text = buffer.substr(0, count);
    buffer.erase(0, count);
    return text;
  }
  std::optional<std::string> line(double limit_ms = 30000) {
    for (;;) {
      const std::size_t end = buffer.find("\r\n");
      if (end != std::string::npos) {
        std::string text = buffer.substr(0, end);
        buffer.erase(0, end + 2);
        return text;
      }
      if (!fill(limit_ms)) {
        return std::nullopt;
      }
    }
  }

  std::string buffer;
  bool timed_out = false;
  bool reset = false;

 private:
  int fd_;
};

/// Returns the value of a header; empty if it is not there.
inline std::string header(const std::string& head, const std::string& name) {
  std::istringstream lines(head);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(':');
    if (colon != name.size() || ::strncasecmp(line.c_str(), name.c_str(), colon) != 0) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    while (!value.empty() && std::isspace(static_cast<unsigned char>(value.back()))) {
      value.pop_back();
    }
    return value.substr(std::min(value.find_first_not_of(" \t"), value.size()));
  }
  return {};
}

struct answer {
  int status = 0;  ///< 0: none came.
  std::string head;
  std::string body;
  bool whole = false;
  std::string end;  ///< How the connection behaved if the answer is not whole.
};

/// Reads an answer as a sound client does.
inline answer read_answer(reader& from, double limit_ms = 30000) {
  answer result;
  const auto why = [&] {
    return from.timed_out ? "no byte in time" : from.reset ? "reset" : "closed";
  };
  auto head = from.head(limit_ms);
  while (head && head->rfind("HTTP/1.1 1", 0) == 0) {
    head = from.head(limit_ms);
  }
  if (!head) {
    result.end = why();
    return result;
  }
  result.head = *head;
  result.status = std::atoi(head->c_str() + 9);
  if (::strcasecmp(header(*head, "Transfer-Encoding").c_str(), "chunked") == 0) {
    for (;;) {
      const auto size_line = from.line(limit_ms);
      const std::size_t size = size_line ? std::strtoul(size_line->c_str(), nullptr, 16) : 0;
      if (!size_line) {
        result.end = why();
        return result;
      }
      const auto piece = from.bytes(size + 2, limit_ms);
      if (!piece) {
        result.body += from.buffer;
        result.end = why();
        return result;
      }
      if (size == 0) {
        result.whole = true;
        return result;
      }
      result.body += piece->substr(0, size);
    }
  }
  const std::string length = header(*head, "Content-Length");
  if (!length.empty()) {
    const auto body = from.bytes(std::stoul(length), limit_ms);
    result.whole = body.has_value();
    result.body = body ? *body : from.buffer;
    result.end = body ? "" : why();
    return result;
  }
  while (from.fill(limit_ms)) {
  }
  result.body = std::move(from.buffer);
  result.whole = !from.reset && !from.timed_out;
  result.end = why();
  return result;
}

/// Accepts connections until it is destroyed, and serves each in a thread.
class server {
 public:
  using handler = std::function<void(int fd)>;
  server(int port, handler serve) : fd_(listen_on(port)), serve_(std::move(serve)) {
    if (fd_ >= 0) {
      accepting_ = std::thread([this] { run(); });
    }
  }
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  ~server() {
    stopping_ = true;
    if (accepting_.joinable()) {
      accepting_.join();
    }
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }
  bool listening() const { return fd_ >= 0; }

 private:
  void run() {
    while (!stopping_) {
      pollfd one{fd_, POLLIN, 0};
      if (::poll(&one, 1, 50) <= 0) {
        continue;
      }
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([serve = serve_, fd] {
        serve(fd);
        ::close(fd);
      }).detach();
    }
  }

  int fd_;
  handler serve_;
  std::atomic<bool> stopping_ = false;
  std::thread accepting_;
};

/// Forwards connections to a port; what arrives, the end of a stream too, is delayed each way, as
/// by a link of that length. A side that was closed resets what still arrives for it.
class delaying_proxy {
 public:
  delaying_proxy(int port, int target, double delay_ms)
      : server_(port, [target, delay_ms](int fd) { forward(fd, target, delay_ms); }) {}
  bool listening() const { return server_.listening(); }

 private:
  static void pump(int from, int to, double delay_ms) {
    struct piece {
      clock::time_point due;
      std::string bytes;  ///< Empty: the end of the stream.
    };
    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<piece> pieces;
    std::thread writer([&] {
      for (;;) {
        piece next;
        {
          std::unique_lock lock(mutex);
          arrived.wait(lock, [&] { return !pieces.empty(); });
          next = std::move(pieces.front());
          pieces.erase(pieces.begin());
        }
        std::this_thread::sleep_until(next.due);
        if (next.bytes.empty()) {
          ::shutdown(to, SHUT_WR);
          return;
        }
        if (!send_all(to, next.bytes)) {
          // The receiver has closed its connection: a reset travels back.
          sleep_ms(delay_ms);
          const linger hard{1, 0};
          ::setsockopt(from, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
          ::shutdown(from, SHUT_RD);
          return;
        }
      }
    });
    char block[16384];
    for (;;) {
      const ssize_t got = ::recv(from, block, sizeof(block), 0);
      piece next{clock::now() + std::chrono::duration_cast<clock::duration>(
                                    std::chrono::duration<double, std::milli>(delay_ms)),
                 got > 0 ? std::string(block, static_cast<std::size_t>(got)) : std::string()};
      {
        const std::lock_guard lock(mutex);
        pieces.push_back(std::move(next));
      }
      arrived.notify_one();
      if (got <= 0) {
        break;
      }
    }
    writer.join();
  }
  static void forward(int caller, int target, double delay_ms) {
    const int host = connect_to(target);
    if (host < 0) {
      return;
    }
    std::thread back([&] { pump(host, caller, delay_ms); });
    pump(caller, host, delay_ms);
    back.join();
    ::close(host);
  }

  server server_;
};

// ---------------------------------------------------------------------------------------- JSON

/// A value of JSON; enough for the bodies of the store's calls.
struct json {
  enum class kind { null, boolean, number, text, list, object } type = kind::null;
  double number = 0;
  std::string text;
  std::vector<json> items;
  std::map<std::string, json> fields;

  const json& operator[](const std::string& name) const {
    static const json none;
    const auto found = fields.find(name);
    return found == fields.end() ? none : found->second;
  }
  static json parse(const std::string& source) {
    std::size_t at = 0;
    return value(source, at);
  }

 private:
  static void skip(const std::string& s, std::size_t& at) {
    while (at < s.size() && std::isspace(static_cast<unsigned char>(s[at]))) {
      ++at;
    }
  }
  static std::string string_at(const std::string& s, std::size_t& at) {
    std::string out;
    for (++at; at < s.size() && s[at] != '"'; ++at) {
      if (s[at] == '\\') {
        ++at;
        out.push_back(s[at] == 'n' ? '\n' : s[at]);
      } else {
        out.push_back(s[at]);
      }
    }
    ++at;
    return out;
  }
  static json value(const std::string& s, std::size_t& at) {
    json result;
    skip(s, at);
    if (at >= s.size()) {
      return result;
    }
    if (s[at] == '"') {
      result.type = kind::text;
      result.text = string_at(s, at);
    } else if (s[at] == '{' || s[at] == '[') {
      const bool object = s[at] == '{';
      const char end = object ? '}' : ']';
      result.type = object ? kind::object : kind::list;
      ++at;
      for (skip(s, at); at < s.size() && s[at] != end; skip(s, at)) {
        if (s[at] == ',') {
          ++at;
          skip(s, at);
        }
        if (object) {
          std::string name = string_at(s, at);
          skip(s, at);
          ++at;  // The colon.
          result.fields[name] = value(s, at);
        } else {
          result.items.push_back(value(s, at));
        }
      }
      ++at;
    } else {
      const std::size_t begin = at;
      while (at < s.size() && std::strchr(",]} \r\n\t", s[at]) == nullptr) {
        ++at;
      }
      const std::string word = s.substr(begin, at - begin);
      if (word == "true" || word == "false") {
        result.type = kind::boolean;
        result.number = word == "true";
      } else if (word != "null") {
        result.type = kind::number;
        result.number = std::strtod(word.c_str(), nullptr);
      }
    }
    return result;
  }
};

inline std::string base64(const std::string& bytes) {
  static const char* const digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      word = (word << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out.push_back(i + k > bytes.size() ? '=' : digits[(word >> (18U - 6U * k)) & 63U]);
    }
  }
  return out;
}

inline std::string unbase64(const std::string& text) {
  std::string out;
  std::uint32_t word = 0;
  int bits = 0;
  for (const char c : text) {
    int value = 0;
    if (c >= 'A' && c <= 'Z') {
      value = c - 'A';
    } else if (c >= 'a' && c <= 'z') {
      value = c - 'a' + 26;
    } else if (c >= '0' && c <= '9') {
      value = c - '0' + 52;
    } else if (c == '+' || c == '/') {
      value = c == '+' ? 62 : 63;
    } else {
      break;
    }
    word = (word << 6U) | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out.push_back(static_cast<char>((word >> static_cast<unsigned>(bits)) & 255U));
    }
  }
  return out;
}

// --------------------------------------------------------------------------------------- store

/// The platform's store: items with revisions, pages, watches and conditional changes, on one port.
class store {
 public:
  explicit store(int port) : server_(port, [this](int fd) { serve(fd); }) {}
  bool listening() const { return server_.listening(); }

  void put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    change(key, value);
  }
  void remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    change(key, std::nullopt);
  }
  std::map<std::string, std::string> items() {
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::string> result;
    for (const auto& [key, one] : items_) {
      result[key] = one.value;
    }
    return result;
  }
  /// While set, calls get no answer and their connections are closed.
  std::atomic<bool> down = false;

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct event {
    std::uint64_t revision = 0;
    std::string key;
    std::optional<std::string> value;
  };

  void change(const std::string& key, std::optional<std::string> value) {
    ++revision_;
    if (value) {
      item& one = items_[key];
      one.created = one.created == 0 ? revision_ : one.created;
      one.value = *value;
      one.revision = revision_;
    } else {
      items_.erase(key);
    }
    events_.push_back({revision_, key, std::move(value)});
    changed_.notify_all();
  }
  static std::string percent_decode(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out.push_back(static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
        i += 2;
      } else {
        out.push_back(text[i]);
      }
    }
    return out;
  }
  static std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> result;
    const std::size_t mark = target.find('?');
    std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');) {
      const std::size_t equals = part.find('=');
      result[part.substr(0, equals)] =
          equals == std::string::npos ? "" : percent_decode(part.substr(equals + 1));
    }
    return result;
  }
  static std::string describe(const std::string& key, const item& one) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + base64(one.value) +
           "\",\"revision\":" + std::to_string(one.revision) +
           ",\"created-at\":" + std::to_string(one.created) + ",\"lease\":0}";
  }
  std::string tail() const { return "\"store-revision\":" + std::to_string(revision_) + "}"; }

  std::pair<int, std::string> range(const std::map<std::string, std::string>& query) {
    const std::lock_guard lock(mutex_);
    const auto prefix = query.count("prefix") > 0 ? query.at("prefix") : "";
    const auto after = query.count("after") > 0 ? query.at("after") : "";
    std::string list;
    int count = 0;
    bool more = false;
    for (const auto& [key, one] : items_) {
      if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) {
        continue;
      }
      if (count == 500) {
        more = true;
        break;
      }
      list += (count++ > 0 ? "," : "") + describe(key, one);
    }
    return {200, "{\"items\":[" + list + "],\"has-more\":" + (more ? "true" : "false") + "," +
                     tail()};
  }
  std::pair<int, std::string> watch(const std::map<std::string, std::string>& query) {
    const std::string prefix = query.count("prefix") > 0 ? query.at("prefix") : "";
    const std::uint64_t after = std::stoull(query.at("after"));
    const auto until = clock::now() + std::chrono::milliseconds(std::stoul(query.at("wait-ms")));
    std::unique_lock lock(mutex_);
    for (;;) {
      std::string list;
      for (const event& one : events_) {
        if (one.revision <= after || one.key.rfind(prefix, 0) != 0) {
          continue;
        }
        list += list.empty() ? "" : ",";
        if (one.value) {
          list += describe(one.key, {*one.value, one.revision, one.revision});
        } else {
          list += "{\"key\":\"" + one.key + "\",\"revision\":" + std::to_string(one.revision) +
                  ",\"deleted\":true}";
        }
      }
      if (!list.empty() || clock::now() >= until || down) {
        return {200, "{\"events\":[" + list + "]," + tail()};
      }
      changed_.wait_until(lock, std::min(until, clock::now() + std::chrono::milliseconds(100)));
    }
  }
  std::pair<int, std::string> txn(const std::string& body) {
    const json call = json::parse(body);
    const std::lock_guard lock(mutex_);
    bool holds = true;
    std::string list;
    for (const json& row : call["precondition"].items) {
      const auto found = items_.find(row["key"].text);
      const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
      holds = holds && revision == static_cast<std::uint64_t>(row["revision"].number);
      if (found != items_.end()) {
        list += (list.empty() ? "" : ",") + describe(found->first, found->second);
      }
    }
    if (!holds) {
      return {412, "{\"items\":[" + list + "]," + tail()};
    }
    for (const json& row : call["writes"].items) {
      change(row["key"].text, unbase64(row["value"].text));
    }
    for (const json& row : call["remove"].items) {
      change(row.text, std::nullopt);
    }
    return {200, "{\"revision\":" + std::to_string(revision_) + "}"};
  }

  void serve(int fd) {
    reader from(fd);
    for (;;) {
      const auto head = from.head(600000);
      if (!head) {
        return;
      }
      std::string body;
      const std::string length = header(*head, "Content-Length");
      if (!length.empty()) {
        const auto read = from.bytes(std::stoul(length));
        if (!read) {
          return;
        }
        body = *read;
      }
      if (down) {
        return;
      }
      std::istringstream words(*head);
      std::string method;
      std::string target;
      words >> method >> target;
      const auto query = query_of(target);
      const std::string path = target.substr(0, target.find('?'));
      std::pair<int, std::string> reply{404, "{}"};
      if (path == "/api/kv-range") {
        reply = range(query);
      } else if (path == "/api/kv-watch") {
        reply = watch(query);
      } else if (path == "/api/kv-txn") {
        reply = txn(body);
      }
      if (down || !send_all(fd, "HTTP/1.1 " + std::to_string(reply.first) +
                                    " -\r\nContent-Type: application/json\r\nContent-Length: " +
                                    std::to_string(reply.second.size()) + "\r\n\r\n" +
                                    reply.second)) {
        return;
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<event> events_;
  std::uint64_t revision_ = 100;
  server server_;
};

// ----------------------------------------------------------------------------------- processes

/// Addresses and bounds of a host, as the platform fills them into deploy/settings.ini.
struct host_settings {
  std::string name = "front-a-1";
  std::string region = "r1";
  std::string zone = "a";
  bool first_start = true;
  int first_port = 0;  ///< Six ports from here on.
  int store_port = 0;
  std::string seeds;  ///< Default: the host itself.
  std::string customers;  ///< Lines of the section [customers].

  int callers() const { return first_port; }
  int readiness() const { return first_port + 1; }
  int peers() const { return first_port + 2; }
  int permits() const { return first_port + 3; }
  int relays() const { return first_port + 4; }

  std::string text() const {
    const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    return "[host]\nid = " + name + "\nregion = " + region + "\nfailure_domain = " + zone +
           "\nfirst_start = " + (first_start ? "true" : "false") +
           "\n[regions]\na = r1\nb = r1\nc = r2\n[listen]\ncallers = " + at(callers()) +
           "\nreadiness = " + at(readiness()) + "\npeers = " + at(peers()) +
           "\npermits = " + at(permits()) + "\nrelays = " + at(relays()) +
           "\n[registry]\naddress = " + at(store_port) + "\nedits_due = 2000ms\n[peers]\nseeds = " +
           (seeds.empty() ? at(peers()) : seeds) +
           "\n[repeats]\nratio = 0.2\nslack = 62\nwindow = 10s\n[upstreams]\n"
           "leaving_limit = 2000ms\nevacuation_limit =\n[customers]\n" +
           (customers.empty() ? "window =\novershoot =\nslack =\n" : customers) +
           "[stop]\nlimit = 6s\n";
  }
};

/// Ends a child that was just forked when its parent ends, however that comes about.
inline void end_with_parent() { ::prctl(PR_SET_PDEATHSIG, SIGKILL); }

/// Sets how many descriptors this process may have, as far as it is allowed to.
inline void limit_descriptors(rlim_t count) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = std::min(count, limit.rlim_max);
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

/// The program under review, run as the deploy file says.
class host_process {
 public:
  host_process(scratch_folder& scratch, const host_settings& settings)
      : settings_(settings),
        file_(scratch.file(settings.name + ".ini")),
        log_(scratch.file(settings.name + ".log")) {
    std::ofstream(file_) << settings.text();
  }
  ~host_process() { kill(); }
  void start() {
    pid_ = ::fork();
    if (pid_ == 0) {
      end_with_parent();
      ::setenv("CATKINTACK_NODE_FILE", file_.c_str(), 1);
      const int out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      limit_descriptors(4100);  // max-fds of the machines
      ::execl("target/platform/catkintackd-platform", "catkintackd-platform",
              static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  /// Waits until the host says that it is ready.
  bool await_ready(double limit_s = 15) const {
    const auto until = clock::now() + std::chrono::duration<double>(limit_s);
    while (clock::now() < until) {
      if (is_ready()) {
        return true;
      }
      sleep_ms(50);
    }
    return false;
  }
  bool is_ready() const {
    const int fd = connect_to(settings_.readiness());
    if (fd < 0) {
      return false;
    }
    send_all(fd, "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    reader from(fd);
    const answer got = read_answer(from, 2000);
    ::close(fd);
    return got.status == 200;
  }
  void signal(int number) const { ::kill(pid_, number); }
  bool running() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
      pid_ = -1;
    }
    return pid_ > 0;
  }
  void kill() {
    if (running()) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, &status_, 0);
      pid_ = -1;
    }
  }
  int status() const { return status_; }
  pid_t pid() const { return pid_; }
  /// Resident memory in MB; the peak with "VmHWM", the current value with "VmRSS".
  double memory_mb(const std::string& field) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind(field + ":", 0) == 0) {
        return std::strtod(line.c_str() + field.size() + 1, nullptr) / 1024;
      }
    }
    return 0;
  }
  std::string log_text() const {
    std::ifstream file(log_);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  const host_settings& settings() const { return settings_; }

 private:
  host_settings settings_;
  std::string file_;
  std::string log_;
  pid_t pid_ = -1;
  int status_ = 0;
};

/// Value of an endpoint's entry in the store.
inline std::string endpoint_entry(int port,
                                  const std::string& service,
                                  int slots,
                                  const std::string& state = "ready",
                                  const std::string& zone = "a",
                                  std::uint64_t born = 1'790'000'000'000) {
  return "{\"address\":\"127.0.0.1:" + std::to_string(port) + "\",\"born\":" +
         std::to_string(born) + ",\"info\":{\"service\":\"" + service +
         "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + std::to_string(slots) +
         "},\"status\":{\"state\":\"" + state + "\",\"sequence\":4,\"warmup-left\":\"0ms\"}}";
}

inline bool trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace rig
