/// @file
/// Probes of several upstreams at once, just before a call is sent.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <vector>

#include "catkintack/choice/candidate.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief One round of probes. Made by make_shared: probes that answer late still hold it.
class probe_round : public std::enable_shared_from_this<probe_round> {
 public:
  probe_round(traffic_state& state, asio::any_io_executor executor);
  probe_round(const probe_round&) = delete;
  probe_round& operator=(const probe_round&) = delete;
  probe_round(probe_round&&) = delete;
  probe_round& operator=(probe_round&&) = delete;
  ~probe_round() = default;

  /// @brief Probes candidates and waits until all have answered, one is clearly good, or patience
  /// ends.
  /// @param planned Candidates without readings.
  /// @param health_path Target of the probes.
  asio::awaitable<void> run(std::vector<choice::candidate> planned, std::string health_path);

  /// @brief Candidates of all runs so far, with what was found.
  const std::vector<choice::candidate>& found() const { return found_; }
  /// @brief Takes the connection over which a candidate answered.
  std::unique_ptr<upstream_connection> take(const base::upstream_id& id);
  /// @brief Ends the round: connections go back to the pool.
  void finish();

 private:
  asio::awaitable<void> probe(std::size_t position, std::string health_path);
  asio::awaitable<std::unique_ptr<upstream_connection>> open(const base::upstream_id& id,
                                                             base::duration limit,
                                                             bool& reused);
  asio::awaitable<bool> ask(upstream_connection& connection,
                            const std::string& health_path,
                            base::duration limit,
                            choice::candidate& target);
  void note_answer(const response_parser& parser, choice::candidate& target);
  bool enough() const;

  traffic_state& state_;
  asio::any_io_executor executor_;
  asio::steady_timer changed_;
  std::vector<choice::candidate> found_;
  std::map<base::upstream_id, std::unique_ptr<upstream_connection>> connections_;
  std::size_t pending_ = 0;
  bool finished_ = false;
};

}  // namespace catkintack::serving
