/// @file
/// One sender thread of the load generator: sends and repeats requests and counts the outcomes.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "catkintack/base/address.hpp"

namespace catkintack::tools {

using clock_type = std::chrono::steady_clock;

/// @brief A gateway host and its state in the readiness check.
struct target {
  base::address callers;
  base::address admin;
  std::atomic<bool> ready = false;
};

/// @brief Options of the load generator.
struct load_options {
  std::vector<std::unique_ptr<target>> targets;
  std::string path = "/label-press/labels";
  std::string key;
  std::string method = "POST";
  int rate_per_second = 200;
  int seconds = 10;
  int threads = 32;
  /// Maximum number of repeats of a request whose response was truncated or whose outcome is
  /// unknown.
  int repeats = 0;
  std::string not_run_file = "/dev/null";
};

/// @brief Counts of requests by outcome, and latencies.
struct load_counts {
  std::uint64_t sent = 0;
  std::uint64_t answers = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cut = 0;       ///< No complete response received, not even to a repeat.
  std::uint64_t cut_once = 0;  ///< Attempts cut after connecting, repeated or not.
  std::uint64_t repeated = 0;  ///< Repeats sent.
  std::uint64_t wrong_body = 0;
  std::uint64_t no_target = 0;
  std::vector<std::int64_t>
      latencies_us;  ///< Of answered requests, measured from their scheduled time.
  std::vector<std::string> not_run_ids;  ///< Requests that a host reported as not_run.

  /// @brief Adds the counts and latencies of another thread.
  void add(const load_counts& other);
};

/// @brief Sends the requests of one thread at their scheduled times.
class load_sender {
 public:
  load_sender(load_options& options, int index);

  /// @brief Sends every request assigned to this thread at its scheduled time.
  /// @param start The scheduled time of request 0.
  void run(clock_type::time_point start);

  const load_counts& counts() const { return counts_; }

 private:
  enum class request_outcome { answer, not_run, unknown, cut };

  int choose_target(int number) const;
  void send(int number, clock_type::time_point due);
  request_outcome send_once(int chosen, const std::string& id, const std::string& body);
  bool fetch_token(int chosen);
  void record_outcome(request_outcome result, clock_type::time_point due);

  load_options& options_;
  int index_;
  std::vector<std::unique_ptr<httplib::Client>> clients_;
  std::vector<std::string> tokens_;
  load_counts counts_;
};

}  // namespace catkintack::tools
