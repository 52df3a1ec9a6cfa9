/// @file
/// A store in memory whose next calls can be made to fail.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "catkintack/config/store.hpp"

namespace catkintack::tests {

/// @brief What happens to a call.
enum class store_fault {
  none,
  unavailable,   ///< Refused; nothing is written.
  lost_applied,  ///< A write is applied and its answer lost.
  lost_dropped,  ///< A write is not applied and its answer lost.
  lost_delayed,  ///< A write's answer is lost, and it arrives after the next call.
};

/// @brief The store in memory.
class fake_store : public config::store {
 public:
  boost::leaf::result<config::stored_value> read(const std::string& key) override {
    const store_fault fault = next(read_faults);
    config::stored_value value = values[key];
    if (late_) {
      std::exchange(late_, {})();
    }
    if (before_write && fault == store_fault::none) {
      pending_race_ = true;
    }
    if (fault != store_fault::none) {
      return unavailable();
    }
    return value;
  }

  boost::leaf::result<config::swap_result> compare_and_swap(const std::string& key,
                                                            std::uint64_t expected_revision,
                                                            const std::string& value) override {
    if (std::exchange(pending_race_, false)) {
      std::exchange(before_write, {})();
    }
    const store_fault fault = next(write_faults);
    if (fault == store_fault::unavailable) {
      return unavailable();
    }
    if (fault == store_fault::lost_delayed) {
      late_ = [this, key, expected_revision, value] { swap(key, expected_revision, value); };
    }
    const bool applies = fault == store_fault::none || fault == store_fault::lost_applied;
    const bool applied = applies && swap(key, expected_revision, value);
    if (fault != store_fault::none) {
      return boost::leaf::new_error(config::config_error{config::config_error_kind::write_unknown,
                                                         "the store gave no answer to the write"});
    }
    return applied ? config::swap_result::applied : config::swap_result::conflict;
  }

  boost::leaf::result<std::optional<config::stored_value>> watch(const std::string&,
                                                                 std::uint64_t,
                                                                 base::duration) override {
    return std::optional<config::stored_value>{};
  }

  boost::leaf::result<bool> hold_lease(const std::string&,
                                       const std::string&,
                                       base::duration) override {
    return false;
  }

  std::map<std::string, config::stored_value> values;
  std::deque<store_fault> read_faults;   ///< Of the next reads, in order.
  std::deque<store_fault> write_faults;  ///< Of the next writes, in order.
  std::function<void()> before_write;    ///< Run once between a read and the write after it.

 private:
  static store_fault next(std::deque<store_fault>& faults) {
    if (faults.empty()) {
      return store_fault::none;
    }
    const store_fault fault = faults.front();
    faults.pop_front();
    return fault;
  }

  static boost::leaf::error_id unavailable() {
    return boost::leaf::new_error(config::config_error{config::config_error_kind::store_unavailable,
                                                       "the store gave no answer"});
  }

  bool swap(const std::string& key, std::uint64_t expected_revision, const std::string& value) {
    config::stored_value& stored = values[key];
    if (stored.revision != expected_revision) {
      return false;
    }
    stored = {value, expected_revision + 1};
    return true;
  }

  std::function<void()> late_;
  bool pending_race_ = false;
};

}  // namespace catkintack::tests
