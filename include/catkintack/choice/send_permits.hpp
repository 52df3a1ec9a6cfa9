/// @file
/// Permits of this host to send to upstreams that named a limit.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/base/request_rate.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/choice/warm_up_limits.hpp"

namespace catkintack::choice {

/// @brief Times of the exchange with the authorities that give out permits.
struct permit_options {
  std::size_t authority_count = 0;  ///< Can change later, see set_authority_count.
  /// An authority without an answer for so long is not asked again for `silent_pause`.
  base::duration answer_timeout = std::chrono::milliseconds(300);
  base::duration silent_pause = std::chrono::seconds(1);
  /// How long after its start a permit may be used. Its authority counts on use near the start.
  base::duration validity = std::chrono::seconds(1);
  /// The same for a permit to a cold upstream, whose bound holds in any window of 1 s. With a
  /// validity V and a rate L, at most (1 + V) L + 3 sends of three authorities fall into a second.
  base::duration warm_up_validity = std::chrono::milliseconds(500);
  /// Longest random addition to the time after which an authority is asked again, so that hosts do
  /// not ask in step.
  base::duration max_jitter = std::chrono::milliseconds(400);
  /// Once no authority has answered for so long, the host sends without being permitted to, at its
  /// part of the limit in the largest fleet: only a send shows whether the limit has ended.
  base::duration unattended_after = std::chrono::seconds(10);
  double largest_fleet = 1000;  ///< In hosts.
};

/// @brief Permits in hand, and which authority to ask for the next ones. Each permit is for one
/// send to one upstream. Not thread-safe.
class send_permits {
 public:
  send_permits(permit_options options, base::random_hook random);

  /// @brief Sets the number of authorities. Permits in hand stay valid.
  void set_authority_count(std::size_t count);
  /// @brief Records that another host is now the authority with an index.
  void replace_authority(std::size_t authority);

  /// @brief Whether a permit for an upstream can be used now.
  /// @param cause Cause of the limit now. A permit requested while the upstream was not known to
  /// be cold cannot be used once it is: it was given out at a higher rate.
  bool usable(const base::upstream_id& id,
              base::instant now,
              limit_cause cause = limit_cause::named) const;
  /// @brief Uses up the permit for an upstream.
  /// @return False if there is none.
  bool take(const base::upstream_id& id, base::instant now, limit_cause cause = limit_cause::named);
  /// @brief Returns when an upstream may next be sent to, at the earliest: the start of the permit,
  /// or the time of the next answer or question.
  base::instant next_chance(const base::upstream_id& id, base::instant now) const;

  /// @brief Returns the authority to ask for a permit now, and records the question. Nothing while
  /// a permit is in hand or a question is open, or if no authority should be asked yet.
  /// @param limit The limit of the upstream.
  std::optional<std::size_t> ask(const base::upstream_id& id,
                                 base::request_rate limit,
                                 base::instant now,
                                 limit_cause cause = limit_cause::named);
  /// @brief Records a granted permit.
  /// @param asked_at Identifies the question; an answer to another one is ignored, so that a
  /// repeated answer grants nothing.
  /// @param wait Time from the question to the start of the permit. Counted from when it was asked
  /// rather than answered, so that a permit that was delayed on its way expires.
  /// @return Whether the permit was accepted.
  bool on_granted(const base::upstream_id& id,
                  std::size_t authority,
                  base::instant asked_at,
                  base::duration wait);
  /// @brief Records a refusal.
  /// @param wait Time until this authority should be asked again.
  void on_refused(const base::upstream_id& id,
                  std::size_t authority,
                  base::instant asked_at,
                  base::duration wait);
  /// @brief Removes the record of an upstream that has no limit or no longer exists.
  void forget(const base::upstream_id& id) { records_.erase(id); }
  /// @brief Returns the upstreams for which permits were requested because they were cold.
  std::vector<base::upstream_id> requested_for_warm_up() const;

 private:
  struct question {
    std::size_t authority = 0;
    base::instant asked_at;
  };
  struct record {
    limit_cause cause = limit_cause::named;  ///< Of the last question.
    base::request_rate rate{};               ///< Of the last question.
    std::optional<question> open{};
    std::optional<base::instant> permit_start{};
    std::vector<base::instant> ask_again_at;       ///< By authority.
    std::optional<base::instant> unattended_at{};  ///< Next send without an authority.
  };

  record* answered(const base::upstream_id& id, std::size_t authority, base::instant asked_at);
  void give_up_unanswered(record& entry, base::instant now);
  void permit_unattended(record& entry, base::request_rate limit, base::instant now);
  base::duration unattended_pause(const record& entry, bool first) const;
  base::duration validity_of(const record& entry) const;
  base::duration jitter() const;

  permit_options options_;
  base::random_hook random_;
  std::map<base::upstream_id, record> records_;
  std::vector<base::instant> silent_until_;  ///< By authority.
  /// First question since the last answer of any authority.
  std::optional<base::instant> unanswered_since_{};
};

}  // namespace catkintack::choice
