#include "catkintack/directory/departure_log.hpp"

namespace catkintack::directory {

void departure_log::record(const base::upstream_id& id,
                           base::incarnation run,
                           departure_reason reason,
                           base::instant now) {
  const auto [found, inserted] = departures_.try_emplace(id, departure{run, reason, now});
  departure& known = found->second;
  if (inserted || run < known.run) {
    return;
  }
  const bool still_announced = run == known.run && known.reason == departure_reason::announced;
  known = {run, still_announced ? departure_reason::announced : reason, now};
}

bool departure_log::departed(const base::upstream_id& id, base::incarnation run) const {
  const auto found = departures_.find(id);
  return found != departures_.end() && run <= found->second.run;
}

bool departure_log::announced(const base::upstream_id& id, base::incarnation run) const {
  return departed(id, run) && departures_.at(id).reason == departure_reason::announced;
}

void departure_log::expire(base::instant now) {
  std::erase_if(departures_,
                [&](const auto& entry) { return entry.second.at + retention_ <= now; });
}

}  // namespace catkintack::directory
