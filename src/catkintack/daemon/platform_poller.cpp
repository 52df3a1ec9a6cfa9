#include "catkintack/daemon/platform_poller.hpp"

#include <utility>

#include "catkintack/config/list_codec.hpp"
#include "catkintack/config/list_keys.hpp"
#include "catkintack/daemon/log.hpp"

namespace catkintack::daemon {
namespace {

namespace leaf = boost::leaf;

constexpr base::duration poll_interval = std::chrono::milliseconds(500);
constexpr base::duration host_list_timeout = std::chrono::seconds(2);

template <class List, class Parser>
leaf::result<List> read_list(config::store& store, const char* key, Parser parse) {
  BOOST_LEAF_AUTO(stored, store.read(key));
  if (stored.revision == 0) {
    return List{};
  }
  return parse(stored.value);
}

}  // namespace

platform_poller::platform_poller(base::address host_list,
                                 std::unique_ptr<config::store> store,
                                 platform_hooks hooks)
    : host_list_(std::move(host_list)),
      store_(std::move(store)),
      hooks_(std::move(hooks)),
      thread_([this] { poll(); }) {}

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
    read_lists();
    lock.lock();
    stopped_.wait_for(lock, poll_interval, [this] { return stopping_; });
  }
}

void platform_poller::read_hosts() {
  leaf::try_handle_all(
      [this]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(hosts, net::fetch_host_list(host_list_, host_list_timeout));
        hooks_.on_hosts(std::move(hosts));
        return {};
      },
      [](const net::net_error& error) { log(log_level::warning, "host-list", error.message); },
      [] { log(log_level::warning, "host-list", "read failed"); });
}

void platform_poller::read_lists() {
  leaf::try_handle_all(
      [this]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(
            plans, read_list<config::plans_list>(*store_, config::plans_key, config::parse_plans));
        BOOST_LEAF_AUTO(allowances, read_list<config::allowances_list>(
                                        *store_, config::allowances_key, config::parse_allowances));
        hooks_.on_lists(
            std::make_shared<const config::lists>(std::move(plans), std::move(allowances)));
        return {};
      },
      [](const config::config_error& error) { log(log_level::warning, "store", error.message); },
      [] { log(log_level::warning, "store", "read failed"); });
}

}  // namespace catkintack::daemon
