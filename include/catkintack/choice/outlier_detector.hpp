/// @file
/// Upstreams that fail calls although their probes look well.
#pragma once

#include <map>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::choice {

/// @brief Limits of suspicion.
struct outlier_options {
  /// How long one failure counts; doubles with each further one.
  base::duration base_duration = std::chrono::milliseconds(700);
  base::duration max_duration = std::chrono::seconds(5);
};

/// @brief Suspects by recent outcomes of this host's own calls. Not thread-safe.
class outlier_detector {
 public:
  explicit outlier_detector(outlier_options options = {}) : options_(options) {}

  /// @brief Counts a call that the upstream failed, refused or left unanswered.
  void on_failure(const base::upstream_id& id, base::instant now);
  /// @brief Counts a good answer; it halves what failures have added up to.
  void on_success(const base::upstream_id& id);
  /// @brief Whether the upstream is a suspect now.
  bool is_outlier(const base::upstream_id& id, base::instant now) const;
  /// @brief Forgets an upstream that is gone.
  void forget(const base::upstream_id& id) { records_.erase(id); }

 private:
  struct record {
    unsigned failures = 0;
    base::instant until;
  };
  outlier_options options_;
  std::map<base::upstream_id, record> records_;
};

}  // namespace catkintack::choice
