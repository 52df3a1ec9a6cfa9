/// @file
/// Counts calls and refusals of each customer.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "catkintack/base/ids.hpp"

namespace catkintack::serving {

/// @brief Counts calls by customer. Exports the customers with the most calls by name and the
/// others together, so that the number of metrics does not grow with the number of customers.
class customer_statistics {
 public:
  /// @param max_named Number of customers that are exported by name.
  /// @param max_tracked Number of customers that are counted separately. The calls of further ones
  /// are counted with the others, which bounds the memory if customers come and go.
  explicit customer_statistics(std::size_t max_named = 20, std::size_t max_tracked = 20000)
      : max_named_(max_named), max_tracked_(max_tracked) {}

  /// @brief Counts a call that was admitted.
  /// @param customer The customer; an empty id is not counted.
  void on_call(const base::customer_id& customer);
  /// @brief Counts a call that this host refused or could not serve.
  /// @param status Status of the response that this host generated.
  void on_refusal(const base::customer_id& customer, unsigned status);

  /// @brief Returns the counters in the Prometheus text format. The counters of the others fall
  /// when a customer begins to be exported by name.
  std::string prometheus_text() const;

 private:
  struct counters {
    std::uint64_t calls = 0;
    std::map<unsigned, std::uint64_t> refusals;  ///< By status.
  };

  counters& counters_of(const base::customer_id& customer);

  std::size_t max_named_;
  std::size_t max_tracked_;
  std::map<base::customer_id, counters> by_customer_;
  counters untracked_;
};

}  // namespace catkintack::serving
