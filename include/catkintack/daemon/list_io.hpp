/// @file
/// Store calls and peer calls that distribute the configuration lists.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/base/metric_registry.hpp"
#include "catkintack/config/list_body.hpp"
#include "catkintack/config/store.hpp"
#include "catkintack/daemon/task_pool.hpp"
#include "catkintack/net/peer_client.hpp"

namespace catkintack::daemon {

/// @brief Receives the results; called on the threads of list_io.
struct list_io_hooks {
  std::function<void(std::uint64_t revision, config::list_body)> on_value;
  std::function<void(config::list_kind)> on_unchanged;
  std::function<void(config::list_kind)> on_store_failed;
  std::function<void(std::vector<config::list_body>)> on_fetched;
  std::function<void(base::host_id)> on_fetch_failed;
};

/// @brief Identity of this host in peer requests.
struct list_io_options {
  base::host_id host;
  base::incarnation run;
  std::string peer_key;
};

/// @brief Runs blocking store calls and peer calls on its own threads.
class list_io {
 public:
  list_io(list_io_options options,
          std::unique_ptr<config::store> store,
          base::metric_registry& metrics,
          list_io_hooks hooks);

  /// @brief Reads a list from the store.
  void read(config::list_kind kind);
  /// @brief Waits for a change of a list in the store.
  /// @param after_revision The known revision; only newer ones count as a change.
  /// @param wait Maximum time to wait.
  void watch(config::list_kind kind, std::uint64_t after_revision, base::duration wait);
  /// @brief Fetches from a peer the lists that are newer than those of this host.
  /// @param where The peer address of the host `from`.
  /// @param in_force Stamps of the lists that this host has.
  void fetch(const base::host_id& from,
             const base::address& where,
             const config::list_stamps& in_force);

 private:
  void run_store_call(config::list_kind kind,
                      const std::function<boost::leaf::result<void>()>& call);

  list_io_options options_;
  std::unique_ptr<config::store> store_;
  base::metric_registry& metrics_;
  list_io_hooks hooks_;
  net::peer_client peer_client_;
  task_pool pool_;
};

/// @brief Answers a peer's fetch_lists request.
/// @param bodies The lists in force on this host.
/// @return The lists that are newer than the peer's, or a refusal when the request is malformed.
net::peer_response answer_fetch(const std::array<config::shared_body, config::list_count>& bodies,
                                const net::peer_request& request);

}  // namespace catkintack::daemon
