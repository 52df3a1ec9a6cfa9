/// @file
/// Detection of upstreams that fail calls although their probes succeed.
#pragma once

#include <map>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::choice {

/// @brief Parameters of outlier detection.
struct outlier_options {
  /// How long an upstream is an outlier after one failure; doubles with each further failure.
  base::duration base_duration = std::chrono::milliseconds(700);
  base::duration max_duration = std::chrono::seconds(5);
};

/// @brief Marks upstreams as outliers by the recent outcomes of this host's own calls. Not
/// thread-safe.
class outlier_detector {
 public:
  explicit outlier_detector(outlier_options options = {}) : options_(options) {}

  /// @brief Records a call that the upstream failed, refused or did not answer.
  void on_failure(const base::upstream_id& id, base::instant now);
  /// @brief Records a successful response, which halves the failure count.
  void on_success(const base::upstream_id& id);
  /// @brief Returns whether the upstream is currently an outlier.
  bool is_outlier(const base::upstream_id& id, base::instant now) const;
  /// @brief Removes the record of an upstream that no longer exists.
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
