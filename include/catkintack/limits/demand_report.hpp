/// @file
/// What a host tells its peers of the allowances that are short on it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "catkintack/base/ids.hpp"

namespace catkintack::limits {

/// Names a customer's use of a service in few bytes; a collision only lowers a share.
using account_key = std::uint32_t;

/// @brief Makes the key of a customer's use of a service.
/// @param customer The customer.
/// @param service The service.
/// @return The same key on every host.
account_key make_account_key(const base::customer_id& customer, const base::service_id& service);

/// @brief A host's demand of one account.
struct demand_entry {
  account_key account = 0;
  std::uint16_t peak = 0;  ///< Highest recent demand, in thousandths of the allowance.
  std::uint8_t consecutive_reports =
      0;  ///< Reports in a row that announced a demand; stops at 255.

  /// @brief Serializes the entry with cereal.
  /// @param archive The cereal archive.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(account, peak, consecutive_reports);
  }
};

/// @brief The accounts that are short on a host; one that is left out has no demand.
struct demand_report {
  base::incarnation run;
  std::uint64_t sequence = 0;  ///< From 1, counted within an incarnation.
  std::vector<demand_entry> entries;

  /// @brief Serializes the report with cereal.
  /// @param archive The cereal archive.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(run, sequence, entries);
  }
};

}  // namespace catkintack::limits
