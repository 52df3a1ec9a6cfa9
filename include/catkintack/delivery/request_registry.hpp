/// @file
/// Memory of request ids that this host has run, so that none runs twice.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/delivery/final_answer.hpp"

namespace catkintack::delivery {

/// @brief Bounds of the memory.
struct registry_options {
  std::size_t capacity = 100'000;  ///< Finished ids remembered; the oldest go first.
};

/// @brief What is known of an id when a request arrives with it.
enum class registry_state {
  fresh,     ///< Never seen; it is now registered as running.
  running,   ///< Running; the call was added to those waiting for its end.
  finished,  ///< Finished; the recorded end is at hand.
};

/// @brief Registry of the ids whose home is this incarnation. Not thread-safe.
class request_registry {
 public:
  explicit request_registry(registry_options options);

  /// @brief Registers the arrival of a call with an id.
  /// @param id The request's id.
  /// @param call The call that carries it.
  /// @return What was known of the id before.
  registry_state arrive(const base::request_id& id, base::call_id call);

  /// @brief The recorded end of a finished id.
  /// @param id The request's id.
  /// @return The end, or null when the id is not finished.
  const final_answer* recorded(const base::request_id& id) const;

  /// @brief Records the end of a running id.
  /// @param id The request's id.
  /// @param end Its end. An outcome of not_run frees the id for another run.
  /// @return The calls that waited for it, besides the one that ran.
  std::vector<base::call_id> finish(const base::request_id& id, const final_answer& end);

 private:
  struct entry {
    bool running = true;
    std::vector<base::call_id> waiting;
    final_answer end;
  };

  void forget_oldest();

  registry_options options_;
  std::unordered_map<base::request_id, entry> entries_;
  std::deque<base::request_id> finished_order_;
};

}  // namespace catkintack::delivery
