/// @file
/// One thread of the load: sends requests, repeats them where asked, and counts what came back.
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

/// @brief A gateway host, and whether the balancer's check lets it have requests.
struct target {
  base::address callers;
  base::address admin;
  std::atomic<bool> ready = false;
};

/// @brief What the load sends.
struct load_options {
  std::vector<std::unique_ptr<target>> targets;
  std::string path = "/label-press/labels";
  std::string key;
  std::string method = "POST";
  int rate_per_second = 200;
  int seconds = 10;
  int threads = 32;
  int repeats = 0;  ///< Of a request that was cut or is unknown, each at another host.
  std::string not_run_file = "/dev/null";
};

/// @brief What came back.
struct tally {
  std::uint64_t sent = 0;
  std::uint64_t answers = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cut = 0;  ///< The connection broke before a whole response, and no repeat helped.
  std::uint64_t cut_once = 0;  ///< Responses cut, repeated or not.
  std::uint64_t repeated = 0;  ///< Repeats sent.
  std::uint64_t wrong_body = 0;
  std::uint64_t no_target = 0;
  std::vector<std::int64_t> latencies_us;  ///< Of answers, from the scheduled time.
  std::vector<std::string> not_run_ids;    ///< Told not_run by a host.

  /// @brief Adds the counts of another thread.
  /// @param other Its counts.
  void add(const tally& other);
};

/// @brief Sends the requests of one thread.
class load_sender {
 public:
  load_sender(load_options& options, int index);

  /// @brief Sends every request that falls to this thread, each at its time.
  /// @param start When request 0 is due.
  void run(clock_type::time_point start);

  const tally& counts() const { return counts_; }

 private:
  enum class end { answer, not_run, unknown, cut };

  int choose_target(int number) const;
  void send(int number, clock_type::time_point due);
  end send_once(int chosen, const std::string& id, const std::string& body);
  bool learn_token(int chosen);
  void count(end result, clock_type::time_point due);

  load_options& options_;
  int index_;
  std::vector<std::unique_ptr<httplib::Client>> clients_;
  std::vector<std::string> tokens_;
  tally counts_;
};

}  // namespace catkintack::tools
