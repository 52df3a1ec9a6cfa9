#include "catkintack/membership/peer_table.hpp"

#include <tuple>

namespace catkintack::membership {

peer_table::peer_table(peer_table_options options) : options_(options) {}

bool peer_table::on_heartbeat(base::instant now, const heartbeat& message) {
  const auto [found, fresh] = peers_.try_emplace(message.host);
  peer_state& state = found->second;
  const auto known = std::tie(state.last.run, state.last.sequence);
  if (!fresh && std::tie(message.run, message.sequence) <= known) {
    return false;
  }
  state.last = message;
  state.heard_at = now;
  return true;
}

std::vector<peer_state> peer_table::live(base::instant now) const {
  std::vector<peer_state> result;
  for (const auto& [host, state] : peers_) {
    if (!state.last.leaving && now - state.heard_at <= options_.silence_limit) {
      result.push_back(state);
    }
  }
  return result;
}

}  // namespace catkintack::membership
