/// @file
/// Finds the requests that crash upstreams.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "catkintack/base/units.hpp"
#include "catkintack/choice/crash_record.hpp"

namespace catkintack::choice {

/// @brief Parameters of a crash ledger.
struct crash_ledger_options {
  /// Crashes that must be explained by one request before it is quarantined.
  std::size_t quarantine_threshold = 3;
  std::size_t max_records = 5000;  ///< Further requests are not recorded.
  /// An answer this long before a crash is learnt of still clears its request: the crash took time
  /// to be confirmed and shared.
  base::duration answer_memory = std::chrono::seconds(1);
  std::size_t max_answers = 4096;  ///< Recent answers that are remembered.
};

/// @brief Which requests were lost in crashes of upstreams, and which of them are to blame. Not
/// thread-safe.
///
/// A crash takes all calls that the upstream was running, most of which did nothing wrong. A
/// request is quarantined if it is part of several crashes that no other quarantined request
/// explains. An upstream that answers a request clears it.
class crash_ledger {
 public:
  explicit crash_ledger(crash_ledger_options options = {}) : options_(options) {}

  /// @brief Records that this host lost a request in a crash.
  /// @return False if that is known, the request was answered a moment ago, or the ledger is full.
  bool add(const base::request_fingerprint& request, const crash_id& crash, base::instant now);
  /// @brief Applies an entry of the registry. Crashes that it does not hold are kept, and are to be
  /// reported.
  void put(const crash_record& entry);
  /// @brief Applies the removal of an entry from the registry, which clears the request.
  void remove(const base::request_fingerprint& request);
  /// @brief Replaces all entries of the registry.
  /// @param keep_missing Whether crashes without an entry are kept, to be reported again: the
  /// registry was restored from an older copy.
  void replace_all(const std::vector<crash_record>& entries, bool keep_missing);

  /// @brief Records that an upstream answered a request completely.
  /// @return The record of the request, which was lost in a crash before, or nothing. The caller
  /// removes it from the registry; here it is cleared.
  std::optional<crash_record> on_answered(const base::request_fingerprint& request,
                                          base::instant now);
  /// @brief Returns the suspect requests that an upstream answered around the time at which their
  /// crashes became known, and clears them.
  std::vector<crash_record> take_answered(base::instant now);

  /// @brief Whether a request was lost in any crash.
  bool is_suspect(const base::request_fingerprint& request) const {
    return records_.contains(request);
  }
  /// @brief Whether a request must not be sent to an upstream.
  bool is_quarantined(const base::request_fingerprint& request);
  /// @brief Returns all quarantined requests.
  const std::set<base::request_fingerprint>& quarantined();

  /// @brief Returns what is known about a request; no crashes if that is nothing.
  crash_record find(const base::request_fingerprint& request) const;
  /// @brief Returns the entries of the registry.
  std::vector<crash_record> entries() const;
  /// @brief Returns a record that holds crashes the registry does not, or nothing.
  std::optional<crash_record> next_unreported() const;
  /// @brief Whether no request is suspect.
  bool empty() const { return records_.empty(); }

 private:
  struct record {
    std::set<crash_id> crashes;
    std::size_t reported = 0;  ///< Number of crashes in the entry of the registry.
    std::int64_t last_seen_ms = 0;
    std::uint64_t revision = 0;
  };

  static crash_record to_crash_record(const base::request_fingerprint& request,
                                      const record& known);
  void remember_answer(const base::request_fingerprint& request, base::instant now);
  bool answered_recently(const base::request_fingerprint& request, base::instant now) const;
  void find_culprits();

  crash_ledger_options options_;
  std::map<base::request_fingerprint, record> records_;
  std::set<base::request_fingerprint> quarantined_;
  bool changed_ = false;  ///< The quarantine has not been computed since the last change.
  std::deque<std::pair<base::instant, base::request_fingerprint>> answer_order_;
  std::map<base::request_fingerprint, base::instant> answers_;  ///< The last of each request.
};

}  // namespace catkintack::choice
