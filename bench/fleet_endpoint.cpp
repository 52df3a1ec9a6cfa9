#include "fleet_endpoint.hpp"

#include <algorithm>

namespace catkintack::bench {
namespace {

constexpr int slow_factor = 10;

}  // namespace

base::instant fleet_endpoint::completion_time(base::instant now, base::duration work) const {
  for (const slow_window& window : slow_windows) {
    if (window.end <= now) {
      continue;
    }
    const base::duration before = std::max(window.begin - now, base::duration{});
    if (work <= before) {
      return now + work;
    }
    work -= before;
    now = std::max(now, window.begin);
    const base::duration inside = (window.end - now) / slow_factor;
    if (work <= inside) {
      return now + work * slow_factor;
    }
    work -= inside;
    now = window.end;
  }
  return now + work;
}

bool fleet_endpoint::is_slow_at(base::instant now) const {
  return std::any_of(slow_windows.begin(), slow_windows.end(), [now](const slow_window& window) {
    return window.begin <= now && now < window.end;
  });
}

void fleet_endpoint::record_load(base::instant now) {
  const auto queued = static_cast<std::uint32_t>(queue.size());
  load_history.emplace_back(now, routing::load_report{running, queued, leaving});
}

routing::load_report fleet_endpoint::load_at(base::instant then) {
  while (load_history.size() > 1 && load_history[1].first <= then) {
    load_history.pop_front();
  }
  routing::load_report known =
      load_history.empty() ? routing::load_report{} : load_history.front().second;
  known.leaving = leaving;
  return known;
}

}  // namespace catkintack::bench
