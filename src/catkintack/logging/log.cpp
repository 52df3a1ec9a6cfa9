#include "catkintack/logging/log.hpp"

#include <easylogging++.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace catkintack::logging {
namespace {

constexpr const char* structured_logger = "structured";

/// @brief Writes formatted lines to standard error, for which easylogging++ has no setting.
class standard_error_callback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    if (data->logMessage()->logger()->id() == structured_logger) {
      return;
    }
    const std::string line = data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), data->dispatchAction() == el::base::DispatchAction::NormalLog);
    std::fwrite(line.data(), 1, line.size(), stderr);
  }
};

/// @brief Writes lines of the structured logger to standard output.
class standard_output_callback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    const el::LogMessage* const message = data->logMessage();
    if (message->logger()->id() != structured_logger) {
      return;
    }
    const std::string line = message->message() + "\n";
    // A line that does not fit into the pipe is dropped, because the log must not delay traffic.
    const ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
    (void)written;
  }
};

bool is_pipe(int descriptor) {
  struct stat status {};
  return ::fstat(descriptor, &status) == 0 && S_ISFIFO(status.st_mode);
}

}  // namespace

void configure_log(log_level level, const base::host_id& host, base::incarnation run) {
  el::Configurations settings;
  settings.setToDefault();
  const std::string origin = host.value() + "/" + std::to_string(run.value());
  settings.setGlobally(el::ConfigurationType::Format, "%datetime %level " + origin + " %msg");
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  const bool debug = level == log_level::debug;
  settings.set(el::Level::Debug, el::ConfigurationType::Enabled, debug ? "true" : "false");
  const bool info = level <= log_level::info;
  settings.set(el::Level::Info, el::ConfigurationType::Enabled, info ? "true" : "false");
  const bool warning = level <= log_level::warning;
  settings.set(el::Level::Warning, el::ConfigurationType::Enabled, warning ? "true" : "false");
  el::Loggers::reconfigureAllLoggers(settings);
  el::Helpers::installLogDispatchCallback<standard_error_callback>("standard_error");
}

void configure_structured_output() {
  if (is_pipe(STDOUT_FILENO)) {
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    (void)::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::Format, "%msg");
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureLogger(structured_logger, settings);
  el::Helpers::installLogDispatchCallback<standard_output_callback>("standard_output");
}

void write_structured_line(const std::string& line) { CLOG(INFO, structured_logger) << line; }

void log(log_level level, const std::string& part, const std::string& message) {
  switch (level) {
    case log_level::debug:
      LOG(DEBUG) << part << ": " << message;
      return;
    case log_level::info:
      LOG(INFO) << part << ": " << message;
      return;
    case log_level::warning:
      LOG(WARNING) << part << ": " << message;
      return;
    case log_level::error:
      LOG(ERROR) << part << ": " << message;
      return;
  }
}

}  // namespace catkintack::logging
