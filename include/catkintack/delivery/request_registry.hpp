/// @file
/// Registry of the request ids that this host has run, which prevents running a request twice.
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

/// @brief Limits of the registry.
struct registry_options {
  std::size_t capacity = 100'000;               ///< Maximum number of finished ids.
  std::size_t max_response_bytes = 64U << 10U;  ///< Larger responses are not recorded.
  std::size_t max_recorded_bytes = 64U << 20U;  ///< Total of all recorded responses.
  std::size_t ids_per_epoch = 10'000;  ///< After this many ids, new tokens carry a new epoch.
};

/// @brief The state of an id when a request arrives with it.
enum class registry_state {
  first_seen,    ///< Not known before; now registered as running.
  running,       ///< Running; the call now waits for its response.
  finished,      ///< Finished; the response is recorded.
  evicted,       ///< Its epoch has been evicted; the request may have run.
  never_issued,  ///< No token with its epoch has been issued.
  mismatched,    ///< The id belongs to another customer or another request.
  closed,        ///< Not known, and the registry is closed; the request certainly did not run.
};

/// @brief The arrival of a call with a request id.
struct registry_arrival {
  base::request_id id;
  std::uint64_t epoch = 0;
  std::uint64_t fingerprint = 0;
  base::call_id call;
};

/// @brief Registry of the request ids owned by this incarnation. Not thread-safe.
///
/// Above its limits the registry evicts whole epochs, oldest first, and keeps the number of the
/// oldest epoch that it still holds. An evicted id is therefore never mistaken for a new one.
class request_registry {
 public:
  explicit request_registry(registry_options options);

  /// @brief Registers the arrival of a call with an id.
  /// @return The state of the id before the arrival.
  registry_state register_arrival(const registry_arrival& arrival);

  /// @brief Returns the recorded response of a finished id, or null if the id is not finished.
  const final_response* recorded_response(const base::request_id& id) const;

  /// @brief Records the response of a running id.
  /// @param response An outcome of not_run removes the id, so that the request may run again.
  /// @return The calls that waited for the response, without the one that ran.
  std::vector<base::call_id> finish(const base::request_id& id, const final_response& response);

  /// @brief Replaces a recorded unknown outcome by a response that arrived late.
  void replace_unknown(const base::request_id& id, const final_response& response);

  /// @brief Stops registering new ids.
  void close() { closed_ = true; }

  /// @brief Returns the epoch to use in new tokens.
  std::uint64_t newest_epoch() const { return newest_epoch_; }
  /// @brief Returns the oldest epoch whose ids are all still held.
  std::uint64_t oldest_epoch() const { return oldest_epoch_; }
  /// @brief Returns the entries to hand over to a successor.
  /// @return Finished ids, and running ids with the outcome unknown.
  std::vector<finished_request> entries() const;
  /// @brief Returns the number of running and finished ids.
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    bool running = true;
    std::uint64_t epoch = 0;
    std::uint64_t fingerprint = 0;
    std::vector<base::call_id> waiting;
    final_response response;
  };

  registry_state register_unseen(const registry_arrival& arrival);
  final_response response_to_record(const final_response& response) const;
  void enforce_limits();
  void evict_oldest_epoch();

  registry_options options_;
  std::unordered_map<base::request_id, entry> entries_;
  /// Pointers to the keys of finished entries; the keys stay in place until their epoch is evicted.
  std::map<std::uint64_t, std::vector<const base::request_id*>> finished_by_epoch_;
  std::size_t finished_ = 0;
  std::size_t recorded_bytes_ = 0;
  std::size_t ids_in_newest_epoch_ = 0;
  std::uint64_t oldest_epoch_ = 0;
  std::uint64_t newest_epoch_ = 0;
  bool closed_ = false;
};

}  // namespace catkintack::delivery
