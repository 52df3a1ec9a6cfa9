/// @file
/// Concurrent probes of several upstreams, run just before a call is sent.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <vector>

#include "catkintack/choice/candidate.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief One round of probes. Must be owned by a shared_ptr: probes that are answered late keep it
/// alive.
class probe_round : public std::enable_shared_from_this<probe_round> {
 public:
  probe_round(traffic_state& state, asio::any_io_executor executor);
  probe_round(const probe_round&) = delete;
  probe_round& operator=(const probe_round&) = delete;
  probe_round(probe_round&&) = delete;
  probe_round& operator=(probe_round&&) = delete;
  ~probe_round() = default;

  /// @brief Probes candidates and waits until all have answered, an idle candidate is found or the
  /// time limit is reached.
  /// @param planned Candidates to probe, without readings.
  /// @param health_path Request target of the probes.
  asio::awaitable<void> run(std::vector<choice::candidate> planned, std::string health_path);

  /// @brief Candidates of all runs so far, with the readings received.
  const std::vector<choice::candidate>& candidates() const { return candidates_; }
  /// @brief Takes the connection on which a candidate answered its probe; null if there is none.
  std::unique_ptr<upstream_connection> take_connection(const base::upstream_id& id);
  /// @brief Ends the round and returns its connections to the pool.
  void finish();

 private:
  /// @brief Counts a probe as pending until it has ended, also by an exception.
  class pending_probe {
   public:
    explicit pending_probe(probe_round& round) : round_(round) {}
    pending_probe(const pending_probe&) = delete;
    pending_probe& operator=(const pending_probe&) = delete;
    pending_probe(pending_probe&&) = delete;
    pending_probe& operator=(pending_probe&&) = delete;
    ~pending_probe() {
      --round_.pending_;
      round_.changed_.cancel();
    }

   private:
    probe_round& round_;
  };

  static asio::awaitable<void> run_probe(std::shared_ptr<probe_round> self,
                                         std::size_t index,
                                         std::string health_path);
  asio::awaitable<void> probe(std::size_t index, std::string health_path);
  asio::awaitable<std::unique_ptr<upstream_connection>> connect(const base::upstream_id& id,
                                                                base::duration limit,
                                                                bool& reused);
  asio::awaitable<bool> send_probe(upstream_connection& connection,
                                   const std::string& health_path,
                                   base::duration limit,
                                   choice::candidate& target);
  void record_response(const http::fields& fields, unsigned code, choice::candidate& target);
  bool has_good_candidate() const;

  traffic_state& state_;
  asio::any_io_executor executor_;
  asio::steady_timer changed_;
  std::vector<choice::candidate> candidates_;
  std::map<base::upstream_id, std::unique_ptr<upstream_connection>> connections_;
  std::size_t pending_ = 0;
  bool finished_ = false;
};

}  // namespace catkintack::serving
