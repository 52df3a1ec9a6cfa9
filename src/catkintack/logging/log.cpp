#include "catkintack/logging/log.hpp"

#include <easylogging++.h>
#include <unistd.h>

#include <memory>
#include <mutex>

#include "catkintack/logging/line_writer.hpp"

namespace catkintack::logging {
namespace {

constexpr const char* structured_logger = "structured";

/// @brief Output of messages on standard error.
struct message_output {
  std::mutex mutex;
  line_writer writer{STDERR_FILENO};
  std::uint64_t reported = 0;  ///< Dropped messages of which a later one has said so.
};

std::unique_ptr<message_output>& standard_error() {
  static auto output = std::make_unique<message_output>();
  return output;
}

std::unique_ptr<line_writer>& standard_output() {
  static auto writer = std::make_unique<line_writer>(STDOUT_FILENO);
  return writer;
}

/// @brief Writes formatted lines to standard error, for which easylogging++ has no setting.
class standard_error_callback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    if (data->logMessage()->logger()->id() == structured_logger) {
      return;
    }
    std::string line = data->logMessage()->logger()->logBuilder()->build(data->logMessage(), false);
    message_output& output = *standard_error();
    const std::lock_guard lock(output.mutex);
    const std::uint64_t dropped = output.writer.dropped();
    if (dropped > output.reported) {
      line.append(" (" + std::to_string(dropped - output.reported) + " lines before were dropped)");
    }
    if (output.writer.write(line)) {
      output.reported = dropped;
    }
  }
};

/// @brief Writes lines of the structured logger to standard output.
class standard_output_callback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    const el::LogMessage* const message = data->logMessage();
    if (message->logger()->id() == structured_logger) {
      standard_output()->write(message->message());
    }
  }
};

}  // namespace

void configure_log(log_level level, const base::host_id& host, base::incarnation run) {
  standard_error() = std::make_unique<message_output>();
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
  standard_output() = std::make_unique<line_writer>(STDOUT_FILENO);
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::Format, "%msg");
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureLogger(structured_logger, settings);
  el::Helpers::installLogDispatchCallback<standard_output_callback>("standard_output");
}

bool write_structured_line(const std::string& line) {
  const std::uint64_t before = standard_output()->dropped();
  CLOG(INFO, structured_logger) << line;
  return standard_output()->dropped() == before;
}

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
