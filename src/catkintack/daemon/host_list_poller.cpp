#include "catkintack/daemon/host_list_poller.hpp"

#include <utility>

#include "catkintack/logging/log.hpp"

namespace catkintack::daemon {
namespace {

namespace leaf = boost::leaf;

constexpr base::duration poll_interval = std::chrono::milliseconds(500);
constexpr base::duration host_list_timeout = std::chrono::seconds(2);

}  // namespace

host_list_poller::host_list_poller(base::address host_list, host_list_hooks hooks)
    : host_list_(std::move(host_list)), hooks_(std::move(hooks)), thread_([this] { poll(); }) {}

host_list_poller::~host_list_poller() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stop_signal_.notify_all();
  thread_.join();
}

void host_list_poller::poll() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    read_host_list();
    lock.lock();
    stop_signal_.wait_for(lock, poll_interval, [this] { return stopping_; });
  }
}

void host_list_poller::read_host_list() {
  leaf::try_handle_all(
      [this]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(text, net::fetch_host_list_text(host_list_, host_list_timeout));
        if (text == last_text_) {
          hooks_.on_host_list_unchanged();
          return {};
        }
        BOOST_LEAF_AUTO(hosts, net::parse_host_list(text));
        last_text_ = std::move(text);
        for (const std::string& reason : hosts.skipped) {
          logging::log(logging::log_level::warning, "host-list", reason);
        }
        hooks_.on_host_list(std::move(hosts));
        return {};
      },
      [](const net::net_error& error) {
        logging::log(logging::log_level::warning, "host-list", error.message);
      },
      [] { logging::log(logging::log_level::warning, "host-list", "read failed"); });
}

}  // namespace catkintack::daemon
