/// @file
/// Memory of request ids that this host has run, so that none runs twice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/delivery/final_response.hpp"
#include "catkintack/delivery/finished_request.hpp"

namespace catkintack::delivery {

/// @brief Bounds of the memory.
struct registry_options {
  std::size_t capacity = 100'000;               ///< Finished ids remembered.
  std::size_t max_answer_bytes = 64U << 10U;    ///< Bodies over this are not kept.
  std::size_t max_recorded_bytes = 64U << 20U;  ///< Of all recorded answers.
  std::size_t ids_per_epoch = 10'000;           ///< Then tokens with a new epoch are given out.
};

/// @brief What is known of an id when a request arrives with it.
enum class registry_state {
  fresh,         ///< Never seen; it is now registered as running.
  running,       ///< Running; the call was added to those waiting for its end.
  finished,      ///< Finished; the recorded end is at hand.
  forgotten,     ///< Its epoch is forgotten; it may have run.
  never_issued,  ///< Its epoch was never given out.
  mismatched,    ///< The id belongs to another customer or another request.
  closed,        ///< Never seen, and nothing new is taken; it certainly did not run.
};

/// @brief An arrival as the registry sees it.
struct registry_arrival {
  base::request_id id;
  std::uint64_t epoch = 0;
  std::uint64_t fingerprint = 0;
  base::call_id call;
};

/// @brief Registry of the ids whose home is this incarnation. Not thread-safe.
///
/// Past its bounds it forgets whole epochs, oldest first, and keeps the number of the oldest epoch
/// still known. So an id that was forgotten is never taken for one that is new.
class request_registry {
 public:
  explicit request_registry(registry_options options);

  /// @brief Registers the arrival of a call with an id.
  /// @param arrival The arrival.
  /// @return What was known of the id before.
  registry_state register_arrival(const registry_arrival& arrival);

  /// @brief The recorded end of a finished id.
  /// @param id The request's id.
  /// @return The end, or null when the id is not finished.
  const final_response* recorded(const base::request_id& id) const;

  /// @brief Records the end of a running id.
  /// @param id The request's id.
  /// @param end Its end. An outcome of not_run frees the id for another run.
  /// @return The calls that waited for it, besides the one that ran.
  std::vector<base::call_id> finish(const base::request_id& id, const final_response& end);

  /// @brief Replaces a recorded unknown by the answer that arrived after all.
  /// @param id The request's id.
  /// @param end The answer.
  void amend(const base::request_id& id, const final_response& end);

  /// @brief Takes no fresh ids from now on.
  void close() { closed_ = true; }

  /// @brief The epoch that belongs into new tokens.
  /// @return The newest epoch.
  std::uint64_t newest_epoch() const { return newest_epoch_; }
  /// @brief The oldest epoch whose ids are all remembered.
  /// @return The epoch.
  std::uint64_t oldest_epoch() const { return oldest_epoch_; }
  /// @brief Everything a successor must know.
  /// @return Finished ids, and running ones with the outcome unknown.
  std::vector<finished_request> entries() const;
  /// @brief The number of ids known, running and finished.
  /// @return The number.
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    bool running = true;
    std::uint64_t epoch = 0;
    std::uint64_t fingerprint = 0;
    std::vector<base::call_id> waiting;
    final_response response;
  };

  registry_state arrive_unseen(const registry_arrival& arrival);
  final_response recordable(const final_response& end) const;
  void keep_bounds();
  void forget_oldest_epoch();

  registry_options options_;
  std::unordered_map<base::request_id, entry> entries_;
  /// Keys of the finished entries; they stay in place until their epoch is forgotten.
  std::map<std::uint64_t, std::vector<const base::request_id*>> finished_by_epoch_;
  std::size_t finished_ = 0;
  std::size_t recorded_bytes_ = 0;
  std::size_t ids_in_newest_epoch_ = 0;
  std::uint64_t oldest_epoch_ = 0;
  std::uint64_t newest_epoch_ = 0;
  bool closed_ = false;
};

}  // namespace catkintack::delivery
