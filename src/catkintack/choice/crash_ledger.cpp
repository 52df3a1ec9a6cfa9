#include "catkintack/choice/crash_ledger.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::choice {

crash_record crash_ledger::to_crash_record(const base::request_fingerprint& request,
                                           const record& known) {
  return {.fingerprint = request,
          .crashes = {known.crashes.begin(), known.crashes.end()},
          .last_seen_ms = known.last_seen_ms,
          .revision = known.revision};
}

bool crash_ledger::answered_recently(const base::request_fingerprint& request,
                                     base::instant now) const {
  const auto found = answers_.find(request);
  return found != answers_.end() && now - found->second <= options_.answer_memory;
}

bool crash_ledger::add(const base::request_fingerprint& request,
                       const crash_id& crash,
                       base::instant now) {
  if (answered_recently(request, now) ||
      (records_.size() >= options_.max_records && !records_.contains(request))) {
    return false;
  }
  const bool added = records_[request].crashes.insert(crash).second;
  changed_ = changed_ || added;
  return added;
}

void crash_ledger::put(const crash_record& entry) {
  record& known = records_[entry.fingerprint];
  known.crashes.insert(entry.crashes.begin(), entry.crashes.end());
  known.reported = std::set<crash_id>(entry.crashes.begin(), entry.crashes.end()).size();
  known.last_seen_ms = entry.last_seen_ms;
  known.revision = entry.revision;
  changed_ = true;
}

void crash_ledger::remove(const base::request_fingerprint& request) {
  changed_ = records_.erase(request) > 0 || changed_;
}

void crash_ledger::replace_all(const std::vector<crash_record>& entries, bool keep_missing) {
  for (auto one = records_.begin(); one != records_.end();) {
    const bool never_reported = one->second.revision == 0;
    one->second.revision = 0;
    one->second.reported = 0;
    one = keep_missing || never_reported ? std::next(one) : records_.erase(one);
  }
  changed_ = true;
  std::ranges::for_each(entries, [&](const crash_record& entry) { put(entry); });
}

void crash_ledger::remember_answer(const base::request_fingerprint& request, base::instant now) {
  answers_.insert_or_assign(request, now);
  answer_order_.emplace_back(now, request);
  while (answer_order_.size() > options_.max_answers ||
         now - answer_order_.front().first > options_.answer_memory) {
    const auto oldest = answers_.find(answer_order_.front().second);
    if (oldest != answers_.end() && oldest->second == answer_order_.front().first) {
      answers_.erase(oldest);
    }
    answer_order_.pop_front();
  }
}

std::optional<crash_record> crash_ledger::on_answered(const base::request_fingerprint& request,
                                                      base::instant now) {
  remember_answer(request, now);
  const auto suspect = records_.find(request);
  if (suspect == records_.end()) {
    return std::nullopt;
  }
  crash_record cleared = to_crash_record(request, suspect->second);
  records_.erase(suspect);
  changed_ = true;
  return cleared;
}

std::vector<crash_record> crash_ledger::take_answered(base::instant now) {
  std::vector<crash_record> cleared;
  for (auto one = records_.begin(); one != records_.end();) {
    if (answered_recently(one->first, now)) {
      cleared.push_back(to_crash_record(one->first, one->second));
      one = records_.erase(one);
      changed_ = true;
    } else {
      ++one;
    }
  }
  return cleared;
}

bool crash_ledger::is_quarantined(const base::request_fingerprint& request) {
  return !records_.empty() && quarantined().contains(request);
}

const std::set<base::request_fingerprint>& crash_ledger::quarantined() {
  if (changed_) {
    find_culprits();
    changed_ = false;
  }
  return quarantined_;
}

void crash_ledger::find_culprits() {
  quarantined_.clear();
  std::set<crash_id> explained;
  for (;;) {
    std::size_t most = 0;
    std::vector<const std::pair<const base::request_fingerprint, record>*> culprits;
    for (const auto& one : records_) {
      const auto open = static_cast<std::size_t>(std::ranges::count_if(
          one.second.crashes, [&](const crash_id& crash) { return !explained.contains(crash); }));
      if (open < std::max(most, options_.quarantine_threshold)) {
        continue;
      }
      if (open > most) {
        culprits.clear();
        most = open;
      }
      culprits.push_back(&one);
    }
    if (culprits.empty()) {
      return;
    }
    for (const auto* const one : culprits) {
      quarantined_.insert(one->first);
      explained.insert(one->second.crashes.begin(), one->second.crashes.end());
    }
  }
}

crash_record crash_ledger::find(const base::request_fingerprint& request) const {
  const auto found = records_.find(request);
  return found == records_.end() ? crash_record{.fingerprint = request}
                                 : to_crash_record(request, found->second);
}

std::vector<crash_record> crash_ledger::entries() const {
  std::vector<crash_record> result;
  for (const auto& [request, known] : records_) {
    if (known.revision > 0) {
      result.push_back(to_crash_record(request, known));
    }
  }
  return result;
}

std::optional<crash_record> crash_ledger::next_unreported() const {
  const auto found = std::ranges::find_if(
      records_, [](const auto& one) { return one.second.crashes.size() > one.second.reported; });
  return found == records_.end() ? std::nullopt
                                 : std::optional(to_crash_record(found->first, found->second));
}

}  // namespace catkintack::choice
