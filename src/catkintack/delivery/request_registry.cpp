#include "catkintack/delivery/request_registry.hpp"

#include <utility>

namespace catkintack::delivery {

request_registry::request_registry(registry_options options) : options_(options) {}

registry_state request_registry::arrive(const base::request_id& id, base::call_id call) {
  const auto [found, fresh] = entries_.try_emplace(id);
  if (fresh) {
    return registry_state::fresh;
  }
  if (found->second.running) {
    found->second.waiting.push_back(call);
    return registry_state::running;
  }
  return registry_state::finished;
}

const final_answer* request_registry::recorded(const base::request_id& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.running) {
    return nullptr;
  }
  return &found->second.end;
}

std::vector<base::call_id> request_registry::finish(const base::request_id& id,
                                                    const final_answer& end) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return {};
  }
  std::vector<base::call_id> waiting = std::exchange(found->second.waiting, {});
  if (end.result == outcome::not_run) {
    entries_.erase(found);
    return waiting;
  }
  found->second.running = false;
  found->second.end = end;
  finished_order_.push_back(id);
  forget_oldest();
  return waiting;
}

void request_registry::forget_oldest() {
  while (finished_order_.size() > options_.capacity) {
    entries_.erase(finished_order_.front());
    finished_order_.pop_front();
  }
}

}  // namespace catkintack::delivery
