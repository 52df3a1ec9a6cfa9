#include "catkintack/control/settings_monitor.hpp"

#include <chrono>
#include <utility>

#include "catkintack/control/read_host_settings.hpp"
#include "catkintack/serving/io.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

constexpr base::duration check_interval = std::chrono::milliseconds(500);

}  // namespace

settings_monitor::settings_monitor(const asio::any_io_executor& executor,
                                   logging::structured_log& log,
                                   std::string path,
                                   handler on_settings)
    : log_(log),
      path_(std::move(path)),
      on_settings_(std::move(on_settings)),
      read_state_(inspect()),
      timer_(executor) {}

std::optional<settings_monitor::file_state> settings_monitor::inspect() const {
  std::error_code error;
  const auto changed_at = std::filesystem::last_write_time(path_, error);
  if (error) {
    return std::nullopt;
  }
  const auto size = std::filesystem::file_size(path_, error);
  return error ? std::nullopt : std::optional(file_state(changed_at, size));
}

bool settings_monitor::reload() {
  read_state_ = inspect();
  return leaf::try_handle_all(
      [this]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(settings, read_host_settings(path_));
        on_settings_(settings);
        return true;
      },
      [this](const host_settings_error& error) {
        log_.write("reload_failed", {{"why", error.message}});
        return false;
      },
      [this] {
        log_.write("reload_failed", {{"why", "unknown error"}});
        return false;
      });
}

void settings_monitor::check() {
  const auto state = inspect();
  if (state && state != read_state_) {
    reload();
  }
}

asio::awaitable<void> settings_monitor::run() {
  for (;;) {
    timer_.expires_after(check_interval);
    auto [error] = co_await timer_.async_wait(serving::no_throw);
    if (error) {
      co_return;
    }
    check();
  }
}

}  // namespace catkintack::control
