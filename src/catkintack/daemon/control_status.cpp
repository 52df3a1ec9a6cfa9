#include "catkintack/daemon/control_status.hpp"

#include <nlohmann/json.hpp>

namespace catkintack::daemon {
namespace {

std::uint64_t version_of(const config::list_stamps& stamps, config::list_kind kind) {
  return stamps.at(config::index_of(kind)).version.value();
}

std::uint64_t edit_of(const config::list_stamps& stamps, config::list_kind kind) {
  return stamps.at(config::index_of(kind)).edit.value();
}

}  // namespace

std::string to_json(const control_status& status,
                    const base::host_id& host,
                    base::incarnation run) {
  nlohmann::json peers = nlohmann::json::array();
  for (const membership::heartbeat& peer : status.peers) {
    peers.push_back({{"host", peer.host.value()},
                     {"incarnation", peer.run.value()},
                     {"plans", version_of(peer.in_force, config::list_kind::plans)},
                     {"allowances", version_of(peer.in_force, config::list_kind::allowances)}});
  }
  const nlohmann::json document = {
      {"host", host.value()},
      {"incarnation", run.value()},
      {"ready", status.ready},
      {"leaving", status.leaving},
      {"caught_up", status.caught_up},
      {"watching", status.watching},
      {"plans", version_of(status.in_force, config::list_kind::plans)},
      {"plans_edit", edit_of(status.in_force, config::list_kind::plans)},
      {"allowances_edit", edit_of(status.in_force, config::list_kind::allowances)},
      {"allowances", version_of(status.in_force, config::list_kind::allowances)},
      {"peers", peers}};
  return document.dump();
}

}  // namespace catkintack::daemon
