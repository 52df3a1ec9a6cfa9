/// @file
/// What a leaving host knew of its ids, kept by its successor.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "catkintack/delivery/finished_request.hpp"
#include "catkintack/delivery/request_identity.hpp"

namespace catkintack::delivery {

/// @brief A part of a hand-over. Several parts make one table; the last one completes it.
struct hand_over_part {
  host_incarnation predecessor;
  std::uint64_t oldest_epoch = 0;  ///< Ids of older epochs are forgotten.
  bool last = false;
  std::vector<finished_request> entries;
};

/// @brief What a table says of an id.
enum class handed_over_state {
  finished,    ///< The end is at hand.
  not_run,     ///< The table is complete and the id is not in it: it certainly did not run.
  unknown,     ///< The id may have run.
  mismatched,  ///< The id belongs to another customer or another request.
};

/// @brief The finished ids of one incarnation that stopped as planned. Nothing in it ever runs.
class handed_over_table {
 public:
  /// @brief Takes in a part.
  /// @param part The part.
  void add(const hand_over_part& part);

  /// @brief What is known of an id.
  /// @param id The id.
  /// @param epoch Its epoch.
  /// @param fingerprint Hash of the customer and request that came with it.
  /// @return What the table says.
  handed_over_state find(const base::request_id& id,
                         std::uint64_t epoch,
                         std::uint64_t fingerprint) const;

  /// @brief The recorded end of an id.
  /// @param id An id for which find() said finished.
  /// @return Its end.
  const final_response& recorded(const base::request_id& id) const;

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
