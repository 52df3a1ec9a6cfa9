/// @file
/// Demand that a host reports to its peers for allowances of which its own share is too small.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "catkintack/base/ids.hpp"

namespace catkintack::limits {

/// Short hash that identifies a customer's use of a service. Accounts whose
/// hashes collide share their reported demand, which can only lower a share.
using account_key = std::uint32_t;

/// @brief Computes the key of a customer's use of a service. It is the same on every host.
account_key make_account_key(const base::customer_id& customer, const base::service_id& service);

/// @brief Demand of one host for one account.
struct demand_entry {
  account_key account = 0;
  std::uint16_t peak = 0;  ///< Highest recent demand, in thousandths of the allowance.
  std::uint8_t consecutive_reports = 0;  ///< Consecutive reports with a demand; saturates at 255.

  /// @brief Serializes the entry with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(account, peak, consecutive_reports);
  }
};

/// @brief Accounts for which a host announces demand, because it needs nearly all of its even share
/// or more. For an account that is not listed, peers count no demand.
struct demand_report {
  base::incarnation run;
  std::uint64_t sequence = 0;  ///< Starts at 1 in each incarnation.
  std::vector<demand_entry> entries;

  /// @brief Serializes the report with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(run, sequence, entries);
  }
};

}  // namespace catkintack::limits
