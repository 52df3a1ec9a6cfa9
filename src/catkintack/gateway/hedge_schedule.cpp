#include "catkintack/gateway/hedge_schedule.hpp"

#include <algorithm>

namespace catkintack::gateway {

hedge_schedule::hedge_schedule(hedge_options options) : options_(options), budget_(0) {}

void hedge_schedule::credit_call() { budget_ = std::min(budget_ + options_.share, options_.burst); }

void hedge_schedule::schedule(base::instant due, base::call_id call) { entries_.push({due, call}); }

std::optional<base::call_id> hedge_schedule::pop_due(base::instant now) {
  if (entries_.empty() || entries_.top().due > now) {
    return std::nullopt;
  }
  const base::call_id call = entries_.top().call;
  entries_.pop();
  return call;
}

}  // namespace catkintack::gateway
