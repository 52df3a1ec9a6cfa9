#include "catkintack/delivery/request_registry.hpp"

#include <utility>

namespace catkintack::delivery {
namespace {

constexpr int status_gone = 410;
constexpr int status_bad_gateway = 502;

std::size_t bytes_of(const final_response& response) {
  std::size_t bytes = response.message.size();
  if (response.upstream_response) {
    bytes += response.upstream_response->body.size();
    for (const auto& [name, value] : response.upstream_response->headers) {
      bytes += name.size() + value.size();
    }
  }
  return bytes;
}

}  // namespace

request_registry::request_registry(registry_options options) : options_(options) {}

registry_state request_registry::register_arrival(const registry_arrival& arrival) {
  const auto found = entries_.find(arrival.id);
  if (found == entries_.end()) {
    return register_unseen(arrival);
  }
  entry& known = found->second;
  if (known.fingerprint != arrival.fingerprint) {
    return registry_state::mismatched;
  }
  if (known.running) {
    known.waiting.push_back(arrival.call);
    return registry_state::running;
  }
  return registry_state::finished;
}

registry_state request_registry::register_unseen(const registry_arrival& arrival) {
  if (arrival.epoch < oldest_epoch_) {
    return registry_state::evicted;
  }
  if (arrival.epoch > newest_epoch_) {
    return registry_state::never_issued;
  }
  if (closed_) {
    return registry_state::closed;
  }
  entry& added = entries_[arrival.id];
  added.epoch = arrival.epoch;
  added.fingerprint = arrival.fingerprint;
  if (++ids_in_newest_epoch_ >= options_.ids_per_epoch) {
    ids_in_newest_epoch_ = 0;
    ++newest_epoch_;
  }
  return registry_state::first_seen;
}

const final_response* request_registry::recorded_response(const base::request_id& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.running) {
    return nullptr;
  }
  return &found->second.response;
}

std::vector<base::call_id> request_registry::finish(const base::request_id& id,
                                                    const final_response& response) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || !found->second.running) {
    return {};
  }
  entry& known = found->second;
  std::vector<base::call_id> waiting = std::exchange(known.waiting, {});
  if (response.result == outcome::not_run || known.epoch < oldest_epoch_) {
    entries_.erase(found);
    return waiting;
  }
  known.running = false;
  known.response = response_to_record(response);
  recorded_bytes_ += bytes_of(known.response);
  finished_by_epoch_[known.epoch].push_back(&found->first);
  ++finished_;
  enforce_limits();
  return waiting;
}

void request_registry::replace_unknown(const base::request_id& id, const final_response& response) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.running ||
      found->second.response.result != outcome::unknown) {
    return;
  }
  recorded_bytes_ -= bytes_of(found->second.response);
  found->second.response = response_to_record(response);
  recorded_bytes_ += bytes_of(found->second.response);
  enforce_limits();
}

std::vector<finished_request> request_registry::entries() const {
  std::vector<finished_request> all;
  all.reserve(entries_.size());
  for (const auto& [id, known] : entries_) {
    const final_response running{outcome::unknown, status_bad_gateway, nullptr,
                                 "the request was running when its host stopped", std::nullopt};
    all.push_back({id, known.fingerprint, known.running ? running : known.response});
  }
  return all;
}

final_response request_registry::response_to_record(const final_response& response) const {
  if (bytes_of(response) <= options_.max_response_bytes) {
    return response;
  }
  return {outcome::unknown, status_gone, nullptr,
          "the request ran; its answer was too large to be kept for repeats", std::nullopt};
}

void request_registry::enforce_limits() {
  while (finished_ > options_.capacity || recorded_bytes_ > options_.max_recorded_bytes) {
    evict_oldest_epoch();
  }
}

void request_registry::evict_oldest_epoch() {
  if (oldest_epoch_ == newest_epoch_) {
    ids_in_newest_epoch_ = 0;
    ++newest_epoch_;
  }
  const auto evicted = finished_by_epoch_.find(oldest_epoch_);
  ++oldest_epoch_;
  if (evicted == finished_by_epoch_.end()) {
    return;
  }
  for (const base::request_id* const id : evicted->second) {
    const auto found = entries_.find(*id);
    recorded_bytes_ -= bytes_of(found->second.response);
    entries_.erase(found);
    --finished_;
  }
  finished_by_epoch_.erase(evicted);
}

}  // namespace catkintack::delivery
