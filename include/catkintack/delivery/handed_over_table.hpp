/// @file
/// Request records of a stopped incarnation, kept by its successor.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "catkintack/delivery/finished_request.hpp"
#include "catkintack/delivery/request_identity.hpp"

namespace catkintack::delivery {

/// @brief One part of a hand-over. A table is built from several parts; the last one completes it.
struct hand_over_part {
  host_incarnation predecessor;
  std::uint64_t oldest_epoch = 0;  ///< Ids of older epochs have been evicted.
  bool last = false;
  std::vector<finished_request> entries;
};

/// @brief The state of an id in a table.
enum class handed_over_state {
  finished,    ///< The response is recorded.
  not_run,     ///< The table is complete and lacks the id: the request certainly did not run.
  unknown,     ///< The request may have run.
  mismatched,  ///< The id belongs to another customer or another request.
};

/// @brief The request ids that an incarnation handed over at its planned stop. The successor never
/// runs these requests.
class handed_over_table {
 public:
  /// @brief Adds the entries of a part to the table.
  void add(const hand_over_part& part);

  /// @brief Looks up an id.
  /// @param epoch The epoch of the id.
  /// @param fingerprint Hash of the customer and request that arrived with the id.
  handed_over_state find(const base::request_id& id,
                         std::uint64_t epoch,
                         std::uint64_t fingerprint) const;

  /// @brief Returns the recorded response for an id.
  /// @param id An id for which find() returned finished.
  const final_response& recorded_response(const base::request_id& id) const;

 private:
  struct entry {
    std::uint64_t fingerprint = 0;
    final_response response;
  };

  std::unordered_map<base::request_id, entry> entries_;
  std::uint64_t oldest_epoch_ = 0;
  bool complete_ = false;
};

}  // namespace catkintack::delivery
