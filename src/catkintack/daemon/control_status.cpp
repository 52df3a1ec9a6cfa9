#include "catkintack/daemon/control_status.hpp"

#include <nlohmann/json.hpp>

namespace catkintack::daemon {

std::string to_json(const control_status& status,
                    const base::host_id& host,
                    base::incarnation run) {
  nlohmann::json peers = nlohmann::json::array();
  for (const membership::heartbeat& peer : status.peers) {
    peers.push_back({{"host", peer.host.value()},
                     {"incarnation", peer.run.value()},
                     {"plans", peer.plans.value()},
                     {"allowances", peer.allowances.value()}});
  }
  const nlohmann::json document = {{"host", host.value()},
                                   {"incarnation", run.value()},
                                   {"ready", status.ready},
                                   {"leaving", status.leaving},
                                   {"plans", status.plans.value()},
                                   {"allowances", status.allowances.value()},
                                   {"peers", peers}};
  return document.dump();
}

}  // namespace catkintack::daemon
