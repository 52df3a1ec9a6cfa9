/// @file
/// An in-memory store with fault injection.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "catkintack/config/store.hpp"

namespace catkintack::tests {

/// @brief A fault injected into one call.
enum class store_fault {
  none,
  unavailable,   ///< The call is refused and nothing is written.
  lost_applied,  ///< The write is applied and its response lost.
  lost_dropped,  ///< The write is not applied and its response lost.
  lost_delayed,  ///< The response is lost, and the write is applied after the next read.
};

/// @brief Keeps values in memory; applies the queued faults to reads and writes.
class fake_store : public config::store {
 public:
  boost::leaf::result<config::stored_value> read(const std::string& key) override {
    const store_fault fault = next_fault(read_faults);
    config::stored_value value = values[key];
    if (delayed_write_) {
      std::exchange(delayed_write_, {})();
    }
    if (before_write && fault == store_fault::none) {
      before_write_armed_ = true;
    }
    if (fault != store_fault::none) {
      return unavailable();
    }
    return value;
  }

  boost::leaf::result<config::swap_result> compare_and_swap(const std::string& key,
                                                            std::uint64_t expected_revision,
                                                            const std::string& value) override {
    if (std::exchange(before_write_armed_, false)) {
      std::exchange(before_write, {})();
    }
    const store_fault fault = next_fault(write_faults);
    if (fault == store_fault::unavailable) {
      return unavailable();
    }
    if (fault == store_fault::lost_delayed) {
      delayed_write_ = [this, key, expected_revision, value] {
        apply_write(key, expected_revision, value);
      };
    }
    const bool applies = fault == store_fault::none || fault == store_fault::lost_applied;
    const bool applied = applies && apply_write(key, expected_revision, value);
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
  std::deque<store_fault> read_faults;   ///< Faults of the next reads, in order.
  std::deque<store_fault> write_faults;  ///< Faults of the next writes, in order.
  std::function<void()> before_write;  ///< Runs once, between a read and the write that follows it.

 private:
  static store_fault next_fault(std::deque<store_fault>& faults) {
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

  bool apply_write(const std::string& key,
                   std::uint64_t expected_revision,
                   const std::string& value) {
    config::stored_value& stored = values[key];
    if (stored.revision != expected_revision) {
      return false;
    }
    stored = {value, expected_revision + 1};
    return true;
  }

  std::function<void()> delayed_write_;
  bool before_write_armed_ = false;
};

}  // namespace catkintack::tests
