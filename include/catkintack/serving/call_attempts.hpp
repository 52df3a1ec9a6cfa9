/// @file
/// The attempts of one call.
#pragma once

#include <memory>
#include <optional>
#include <set>

#include "catkintack/serving/call.hpp"
#include "catkintack/serving/call_result.hpp"
#include "catkintack/serving/share_ticket.hpp"
#include "catkintack/serving/traffic_state.hpp"
#include "catkintack/serving/upstream_selection.hpp"

namespace catkintack::serving {

/// @brief Progress of a call across its attempts.
struct call_progress {
  std::uint32_t attempts = 0;
  bool may_have_run = false;  ///< An attempt may have run the call.
  std::set<base::upstream_id> tried;
};

/// @brief An attempt that has ended.
struct finished_attempt {
  exchange_result exchange;
  base::upstream_id upstream;
  call_diagnostics diagnostics;  ///< Of the search that selected the upstream.
};

/// @brief Sends one call to upstreams. Must be owned by a shared_ptr, as a search for a further
/// upstream may end after the call.
///
/// While the upstream of a repeatable call stays silent, the call is also sent to another one. An
/// attempt that may be running is never given up for an uncertain one: its connection is closed
/// only when another upstream has answered, the caller has left or the deadline has passed.
class call_attempts : public std::enable_shared_from_this<call_attempts> {
 public:
  /// @param executor Executor of the call's I/O.
  /// @param service The service whose upstreams serve the call.
  call_attempts(traffic_state& state,
                asio::any_io_executor executor,
                std::shared_ptr<call> served,
                base::service_id service);

  /// @brief Selects the upstream of the next attempt.
  asio::awaitable<upstream_selection> select();
  /// @brief Sends the call to a selected upstream.
  /// @param selection With a connection.
  /// @return The attempt that ended the call, or, if all failed, the one to report.
  asio::awaitable<finished_attempt> send(upstream_selection selection);

  const call_progress& progress() const { return progress_; }
  /// @brief Whether a further attempt is possible, apart from the resend budget.
  bool may_try_again() const;
  /// @brief Details of the last search, and the number of attempts.
  const call_diagnostics& diagnostics() const { return diagnostics_; }

 private:
  struct round;
  class work_count;

  asio::awaitable<finished_attempt> attempt(std::shared_ptr<round> current,
                                            upstream_selection selection);
  asio::awaitable<finished_attempt> exchange_with(const round& current,
                                                  upstream_selection selection);
  /// @brief Searches for a further upstream for as long as the round needs one. Owns the call,
  /// which may end before the search does.
  static asio::awaitable<void> back_up(std::shared_ptr<call_attempts> self,
                                       std::shared_ptr<round> current);
  /// @brief Selects a further upstream and sends the call to it.
  /// @return Whether the call was sent.
  asio::awaitable<bool> try_back_up(std::shared_ptr<round> current);
  bool may_back_up(const round& current) const;
  /// @brief Ends a round with the attempt that ends the call.
  void conclude(round& current, finished_attempt decisive);
  void record_failure(round& current, finished_attempt failed);
  base::duration silence_timeout() const;
  void describe_search(const upstream_selection& selection);

  traffic_state& state_;
  asio::any_io_executor executor_;
  std::shared_ptr<call> served_;
  base::service_id service_;
  share_ticket share_;
  call_progress progress_;
  call_diagnostics diagnostics_;
};

/// @brief Whether the call is over after an attempt, however its caller fares.
bool ends_call(const exchange_result& attempt, const call& served);

}  // namespace catkintack::serving
