#include "catkintack/daemon/platform_poller.hpp"

#include <utility>

#include "catkintack/logging/log.hpp"

namespace catkintack::daemon {
namespace {

namespace leaf = boost::leaf;

constexpr base::duration poll_interval = std::chrono::milliseconds(500);
constexpr base::duration host_list_timeout = std::chrono::seconds(2);

}  // namespace

platform_poller::platform_poller(base::address host_list, platform_hooks hooks)
    : host_list_(std::move(host_list)), hooks_(std::move(hooks)), thread_([this] { poll(); }) {}

platform_poller::~platform_poller() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  thread_.join();
}

void platform_poller::poll() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    read_hosts();
    lock.lock();
    stopped_.wait_for(lock, poll_interval, [this] { return stopping_; });
  }
}

void platform_poller::read_hosts() {
  leaf::try_handle_all(
      [this]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(text, net::fetch_host_list_text(host_list_, host_list_timeout));
        if (text == last_text_) {
          hooks_.on_hosts_unchanged();
          return {};
        }
        BOOST_LEAF_AUTO(hosts, net::parse_host_list(text));
        last_text_ = std::move(text);
        hooks_.on_hosts(std::move(hosts));
        return {};
      },
      [](const net::net_error& error) {
        logging::log(logging::log_level::warning, "host-list", error.message);
      },
      [] { logging::log(logging::log_level::warning, "host-list", "read failed"); });
}

}  // namespace catkintack::daemon
