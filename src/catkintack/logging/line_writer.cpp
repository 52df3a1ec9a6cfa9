#include "catkintack/logging/line_writer.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace catkintack::logging {

line_writer::line_writer(int descriptor) : descriptor_(descriptor) {
  struct stat status {};
  if (::fstat(descriptor, &status) == 0 && !S_ISREG(status.st_mode)) {
    const int flags = ::fcntl(descriptor, F_GETFL);
    (void)::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

std::size_t line_writer::write_some(std::string_view bytes) const {
  ssize_t written = 0;
  do {
    written = ::write(descriptor_, bytes.data(), bytes.size());
  } while (written < 0 && errno == EINTR);
  return written < 0 ? 0 : static_cast<std::size_t>(written);
}

bool line_writer::write(std::string_view line) {
  rest_.erase(0, rest_.empty() ? 0 : write_some(rest_));
  if (!rest_.empty()) {
    ++dropped_;
    return false;
  }
  std::string bytes(line);
  bytes.push_back('\n');
  const std::size_t written = write_some(bytes);
  if (written == 0) {
    ++dropped_;
    return false;
  }
  rest_ = bytes.substr(written);
  return true;
}

}  // namespace catkintack::logging
