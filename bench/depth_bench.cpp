// Retry amplification through a call chain of 19 levels with one failing level, in virtual time.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <optional>
#include <vector>

#include "catkintack/limits/retry_budget.hpp"

namespace {

using namespace catkintack;  // NOLINT(google-build-using-namespace)

constexpr std::size_t depth = 19;
constexpr int naive_attempts = 3;
constexpr int calls = 1000;
constexpr double max_simulated_attempts = 1e7;
constexpr base::duration ample_time = std::chrono::seconds(60);  // No deadline limits a retry.
const base::service_id service("label-press");

struct chain_result {
  double worst_case = 0;  ///< Attempts at all levels for the worst call.
  double mean = 0;        ///< Attempts at all levels per call.
  double at_failing = 0;  ///< Attempts at the failing level per call.
};

/// A call chain in which every attempt at one level fails and each level above propagates the
/// failure.
class chain {
 public:
  chain(std::size_t failing, limits::retry_budget_options options, bool naive)
      : failing_(failing), naive_(naive), levels_(depth, limits::retry_budget(options)) {}

  chain_result run() {
    chain_result result;
    for (int call = 0; call < calls; ++call) {
      attempts_ = 0;
      run_level(0, std::nullopt);
      result.worst_case = std::max(result.worst_case, attempts_);
      result.mean += attempts_ / calls;
    }
    result.at_failing = at_failing_ / calls;
    return result;
  }

 private:
  bool run_level(std::size_t level, std::optional<std::uint32_t> call_budget) {
    if (level == depth) {
      return true;
    }
    std::uint32_t left = levels_[level].add_call(service, call_budget);
    for (int attempt = 1;; ++attempt) {
      ++attempts_;
      at_failing_ += level == failing_ ? 1 : 0;
      const std::uint32_t downstream_budget_left = limits::retry_budget::downstream_budget(left);
      if (level != failing_ && run_level(level + 1, downstream_budget_left)) {
        return true;
      }
      const bool may_retry =
          naive_ ||
          levels_[level].try_spend(service, limits::failure_kind::may_have_run, ample_time, left);
      if (attempt == naive_attempts || !may_retry) {
        return false;
      }
    }
  }

  std::size_t failing_;
  bool naive_;
  std::vector<limits::retry_budget> levels_;
  double attempts_ = 0;
  double at_failing_ = 0;
};

/// Returns the attempts at the failing level and all levels above it with three attempts at each:
/// 3 + 9 + 27 + ...
double naive_total(std::size_t failing) {
  double total = 0;
  double at_level = 1;
  for (std::size_t level = 0; level <= failing; ++level) {
    at_level *= naive_attempts;
    total += at_level;
  }
  return total;
}

void print(const char* name, std::size_t failing, const chain_result& result) {
  std::printf("%7zu  %-28s %14.0f %14.2f %14.2f\n", failing + 1, name, result.worst_case,
              result.mean, result.at_failing);
}

}  // namespace

int main() {
  std::printf("failing  %-28s %14s %14s %14s\n", "policy", "max", "mean", "at failing");
  for (const std::size_t failing : {std::size_t{0}, std::size_t{4}, std::size_t{9}, depth - 1}) {
    const double naive = naive_total(failing);
    if (naive * calls < max_simulated_attempts) {
      print("naive, 3 at each level", failing, chain(failing, {}, true).run());
    } else {
      std::printf("%7zu  %-28s %14.0f %14s %14s\n", failing + 1, "naive, 3 (by formula)", naive,
                  "same", "-");
    }
    const limits::retry_budget_options unlimited{1.0, 1e9};
    print("call budget alone", failing, chain(failing, unlimited, false).run());
    limits::retry_budget_options two_extra_attempts = unlimited;
    two_extra_attempts.max_extra_attempts = 2;
    print("call budget of 2 alone", failing, chain(failing, two_extra_attempts, false).run());
    limits::retry_budget_options service_limited;
    service_limited.burst = 1;
    print("call and service budget", failing, chain(failing, service_limited, false).run());
  }
  return 0;
}
