#include "catkintack/logging/line_writer.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <thread>

#include "catkintack/logging/log.hpp"

namespace catkintack::logging {
namespace {

/// @brief Both ends of a stream. Reading does not block.
struct stream_ends {
  int reading = -1;
  int writing = -1;
};

stream_ends open_pipe() {
  std::array<int, 2> ends{};
  EXPECT_EQ(::pipe(ends.data()), 0);
  return {ends[0], ends[1]};
}

stream_ends open_socket() {
  std::array<int, 2> ends{};
  EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
  return {ends[0], ends[1]};
}

stream_ends open_terminal() {
  const int controller = ::posix_openpt(O_RDWR | O_NOCTTY);
  EXPECT_EQ(::grantpt(controller), 0);
  EXPECT_EQ(::unlockpt(controller), 0);
  return {controller, ::open(::ptsname(controller), O_RDWR | O_NOCTTY)};
}

std::string read_available(int descriptor) {
  (void)::fcntl(descriptor, F_SETFL, O_NONBLOCK);
  std::string text;
  std::array<char, 4096> block{};
  for (ssize_t count = 0; (count = ::read(descriptor, block.data(), block.size())) > 0;) {
    text.append(block.data(), static_cast<std::size_t>(count));
  }
  std::erase(text, '\r');  // Terminals send a carriage return before each line break.
  return text;
}

std::size_t count_lines(const std::string& text) {
  return static_cast<std::size_t>(std::ranges::count(text, '\n'));
}

struct output_kind {
  std::string name;
  std::function<stream_ends()> open;
};

class line_writer_kinds : public testing::TestWithParam<output_kind> {
 protected:
  line_writer_kinds() { std::signal(SIGPIPE, SIG_IGN); }
};

INSTANTIATE_TEST_SUITE_P(all,
                         line_writer_kinds,
                         testing::Values(output_kind{"pipe", &open_pipe},
                                         output_kind{"socket", &open_socket},
                                         output_kind{"terminal", &open_terminal}),
                         [](const auto& kind) { return kind.param.name; });

TEST_P(line_writer_kinds, reader_that_stops_gets_whole_lines) {
  const stream_ends ends = GetParam().open();
  line_writer writer(ends.writing);
  const std::string line(777, 'x');
  std::size_t accepted = 0;
  std::string seen;
  for (int pause = 0; pause < 3; ++pause) {
    while (writer.write(line)) {
      ++accepted;
    }
    seen += read_available(ends.reading);
  }
  EXPECT_TRUE(writer.write("last"));  // After the rest of the line before it.
  seen += read_available(ends.reading);
  EXPECT_EQ(writer.dropped(), 3U);
  std::string expected;
  for (std::size_t i = 0; i < accepted; ++i) {
    expected += line + "\n";
  }
  EXPECT_EQ(seen, expected + "last\n");
}

TEST_P(line_writer_kinds, closed_reader_drops_lines) {
  const stream_ends ends = GetParam().open();
  line_writer writer(ends.writing);
  ::close(ends.reading);
  EXPECT_FALSE(writer.write("a"));
  EXPECT_EQ(writer.dropped(), 1U);
}

/// @brief Puts the writing end of a stream in the place of a standard one for its life.
class replaced_stream {
 public:
  replaced_stream(const stream_ends& ends, int standard)
      : standard_(standard), original_(::dup(standard)) {
    ::dup2(ends.writing, standard);
    ::close(ends.writing);
  }
  replaced_stream(const replaced_stream&) = delete;
  replaced_stream& operator=(const replaced_stream&) = delete;
  replaced_stream(replaced_stream&&) = delete;
  replaced_stream& operator=(replaced_stream&&) = delete;
  ~replaced_stream() {
    ::dup2(original_, standard_);
    ::close(original_);
  }

 private:
  int standard_;
  int original_;
};

/// @brief Writes lines whose reader is far behind.
/// @param reading The reading end; closed if the writer waits for it.
/// @return Whether the lines were written within 10 s.
bool write_without_reader(int reading, const std::function<void()>& write) {
  std::atomic<bool> done = false;
  std::thread writer([&] {
    write();
    done = true;
  });
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!done && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  const bool in_time = done;
  if (!in_time) {
    ::close(reading);  // Ends the write that waits.
  }
  writer.join();
  return in_time;
}

constexpr int more_lines_than_any_buffer_holds = 20'000;

// Guards against a host that stops serving when the reader of its log does (incident 25).
TEST_P(line_writer_kinds, structured_lines_do_not_wait_for_the_reader) {
  const stream_ends ends = GetParam().open();
  const replaced_stream replaced(ends, STDOUT_FILENO);
  const bool in_time = write_without_reader(ends.reading, [] {
    configure_structured_output();
    for (int i = 0; i < more_lines_than_any_buffer_holds; ++i) {
      write_structured_line("time_us=5 event=call_ended request=" + std::to_string(i));
    }
  });
  ASSERT_TRUE(in_time);
  const std::string seen = read_available(ends.reading);
  EXPECT_LT(count_lines(seen), more_lines_than_any_buffer_holds);
  EXPECT_TRUE(seen.starts_with("time_us=5 event=call_ended request=0\n"));
}

// Guards against a daemon that stops when the reader of its messages does (incident 25).
TEST_P(line_writer_kinds, messages_do_not_wait_for_the_reader) {
  const stream_ends ends = GetParam().open();
  const replaced_stream replaced(ends, STDERR_FILENO);
  const bool in_time = write_without_reader(ends.reading, [] {
    configure_log(log_level::info, base::host_id("a"), base::incarnation(1));
    for (int i = 0; i < more_lines_than_any_buffer_holds; ++i) {
      log(log_level::warning, "peers", "no answer");
    }
  });
  ASSERT_TRUE(in_time);
  EXPECT_NE(read_available(ends.reading).find("WARNING a/1 peers: no answer\n"), std::string::npos);
  log(log_level::warning, "peers", "no answer again");
  EXPECT_NE(read_available(ends.reading).find("were dropped"), std::string::npos);
}

}  // namespace
}  // namespace catkintack::logging
