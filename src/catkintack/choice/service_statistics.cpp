#include "catkintack/choice/service_statistics.hpp"

namespace catkintack::choice {

void service_statistics::on_probe(const base::service_id& service, const probe_result& result) {
  constexpr double weight = 0.02;
  slowdowns_.try_emplace(service, weight).first->second.add(result.slowdown);
}

double service_statistics::usual_slowdown(const base::service_id& service) const {
  const auto found = slowdowns_.find(service);
  return found == slowdowns_.end() ? 1.0 : found->second.value_or(1.0);
}

}  // namespace catkintack::choice
