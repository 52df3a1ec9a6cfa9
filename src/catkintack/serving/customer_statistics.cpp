#include "catkintack/serving/customer_statistics.hpp"

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace catkintack::serving {
namespace {

/// @brief Escapes a label's value (Prometheus text format).
std::string escape_label(std::string_view text) {
  std::string result;
  for (const char one : text) {
    if (one == '\n') {
      result += "\\n";
      continue;
    }
    if (one == '\\' || one == '"') {
      result += '\\';
    }
    result += one;
  }
  return result;
}

}  // namespace

customer_statistics::counters& customer_statistics::counters_of(const base::customer_id& customer) {
  const auto found = by_customer_.find(customer);
  if (found != by_customer_.end()) {
    return found->second;
  }
  return by_customer_.size() < max_tracked_ ? by_customer_[customer] : untracked_;
}

void customer_statistics::on_call(const base::customer_id& customer) {
  if (!customer.empty()) {
    ++counters_of(customer).calls;
  }
}

void customer_statistics::on_refusal(const base::customer_id& customer, unsigned status) {
  if (!customer.empty()) {
    ++counters_of(customer).refusals[status];
  }
}

std::string customer_statistics::prometheus_text() const {
  using entry = std::pair<const base::customer_id, counters>;
  std::vector<const entry*> order;
  order.reserve(by_customer_.size());
  for (const entry& one : by_customer_) {
    order.push_back(&one);
  }
  const std::size_t named = std::min(max_named_, order.size());
  std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(named),
                            std::ranges::greater(),
                            [](const entry* one) { return one->second.calls; });
  std::string text;
  const auto append = [&text](const std::string& labels, const counters& counted) {
    text += "catkintack_customer_calls_total{" + labels + "} " + std::to_string(counted.calls);
    text += '\n';
    for (const auto& [status, count] : counted.refusals) {
      text += "catkintack_customer_refusals_total{" + labels + ",status=\"" +
              std::to_string(status) + "\"} " + std::to_string(count) + '\n';
    }
  };
  for (std::size_t i = 0; i < named; ++i) {
    append("customer=\"" + escape_label(order[i]->first.value()) + "\"", order[i]->second);
  }
  counters others = untracked_;
  for (std::size_t i = named; i < order.size(); ++i) {
    others.calls += order[i]->second.calls;
    for (const auto& [status, count] : order[i]->second.refusals) {
      others.refusals[status] += count;
    }
  }
  if (!by_customer_.empty()) {
    // A label of its own, as a customer may have any name.
    append("others=\"1\"", others);
  }
  return text;
}

}  // namespace catkintack::serving
