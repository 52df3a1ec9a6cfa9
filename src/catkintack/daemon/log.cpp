#include "catkintack/daemon/log.hpp"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace catkintack::daemon {
namespace {

/// @brief Writes finished lines to standard error, which easylogging++ has no setting for.
class standard_error_callback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    const std::string line = data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(), data->dispatchAction() == el::base::DispatchAction::NormalLog);
    std::fwrite(line.data(), 1, line.size(), stderr);
  }
};

}  // namespace

void configure_log(log_level level, const base::host_id& host, base::incarnation run) {
  el::Configurations settings;
  settings.setToDefault();
  const std::string who = host.value() + "/" + std::to_string(run.value());
  settings.setGlobally(el::ConfigurationType::Format, "%datetime %level " + who + " %msg");
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

void log(log_level level, const std::string& part, const std::string& sentence) {
  switch (level) {
    case log_level::debug:
      LOG(DEBUG) << part << ": " << sentence;
      return;
    case log_level::info:
      LOG(INFO) << part << ": " << sentence;
      return;
    case log_level::warning:
      LOG(WARNING) << part << ": " << sentence;
      return;
    case log_level::error:
      LOG(ERROR) << part << ": " << sentence;
      return;
  }
}

}  // namespace catkintack::daemon
