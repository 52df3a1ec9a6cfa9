#include <algorithm>
#include <utility>

#include "catkintack/gateway/gateway.hpp"

namespace catkintack::gateway {

bool gateway::enqueue(base::instant now, base::call_id id, const call& state) {
  if (!router_.at_capacity(now, state.service, state.tried)) {
    return false;
  }
  const std::size_t waiting = queues_[state.service].size();
  const base::duration mean_latency = router_.latency(state.service).mean();
  const base::instant expected_end = now + expected_wait(now, state.service) + mean_latency;
  if (waiting >= options_.queue.capacity || expected_end >= state.deadline) {
    return false;
  }
  recorder_("routing", "queued", state.request, {{"waiting", std::to_string(waiting)}});
  queues_[state.service].push_back(id);
  return true;
}

base::duration gateway::expected_wait(base::instant now, const base::service_id& service) const {
  const auto found = queues_.find(service);
  const std::size_t ahead = found == queues_.end() ? 0 : found->second.size();
  const std::uint32_t ceiling = std::max(router_.max_in_flight(now, service), 1U);
  return router_.latency(service).mean() * static_cast<std::int64_t>(ahead + 1) / ceiling;
}

void gateway::drain_queue(base::instant now, const base::service_id& service) {
  auto& queue = queues_[service];
  while (!queue.empty()) {
    const base::call_id id = queue.front();
    call& state = calls_.at(id);
    const bool in_time = now + router_.latency(service).mean() < state.deadline;
    if (in_time && try_attempt(now, id, state)) {
      queue.pop_front();
      continue;
    }
    if (in_time && router_.at_capacity(now, service, state.tried)) {
      return;
    }
    queue.pop_front();
    reject_unsent(now, id, state);
  }
}

void gateway::drain_queues(base::instant now) {
  for (auto& [service, queue] : queues_) {
    if (!queue.empty()) {
      drain_queue(now, service);
    }
  }
}

}  // namespace catkintack::gateway
