/// @file
/// A host's side of the caps of customers.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/limits/quota_bounds.hpp"
#include "catkintack/limits/quota_grant.hpp"
#include "catkintack/limits/quota_lease.hpp"
#include "catkintack/limits/quota_verdict.hpp"
#include "catkintack/routes/customer_policy.hpp"

namespace catkintack::limits {

/// @brief Times of the exchange with the authorities.
struct quota_client_options {
  std::size_t authority_count = 0;  ///< Slots; can change later, see set_authority_count.
  quota_bounds bounds{};
  /// Longest wait of a call for a token.
  base::duration max_wait = std::chrono::milliseconds(240);
  /// Time in which an authority must answer, until its response time has been measured.
  base::duration first_timeout = std::chrono::milliseconds(80);
  base::duration min_timeout = std::chrono::milliseconds(20);
  double timeout_factor = 4;  ///< Of the measured response time.
  /// An authority that let two requests time out is not asked for so long. After one timeout, which
  /// may be a lost datagram, only the waiting calls go to another authority.
  base::duration silent_pause = std::chrono::seconds(1);
  base::duration heartbeat_interval = std::chrono::milliseconds(400);
  /// The host uses its own share when no authority has answered for so long.
  base::duration detach_after = std::chrono::milliseconds(1500);
  /// A lease is used for so long after it was received. Shorter than at the authority.
  base::duration lease_time = std::chrono::minutes(9);
  /// Heartbeats in a row without a reply after which an authority counts as unreachable.
  unsigned unreachable_after = 7;
  /// Retry-After if the host has neither an authority nor a share.
  base::duration unavailable_retry_after = std::chrono::milliseconds(300);
};

/// @brief Tokens in hand, requests in progress and refusals of each customer. Not thread-safe.
class quota_client {
 public:
  using ticket = std::uint64_t;  ///< Identifies a waiting call.

  quota_client(quota_client_options options, base::random_hook random);

  /// @brief Sets the number of slots. Slots that are added have no holder that answered yet.
  void set_authority_count(std::size_t count);
  /// @brief Records that a slot has another holder. Tokens in hand stay valid; the lease of the
  /// former holder is not used any more, but is confirmed to the new one, which reserves by it.
  void replace_authority(std::size_t authority);
  /// @brief Whether an authority has not replied to several heartbeats in a row. Time in which this
  /// host sent none, since it was frozen, does not count.
  bool is_unreachable(std::size_t authority) const {
    return peers_[authority].unanswered >= options_.unreachable_after;
  }

  /// @brief Adds a call that needs a token. The customer must have a rate.
  ticket submit(const routes::customer_policy& customer, base::instant now);
  /// @brief Removes and returns the decision on a call; nothing while it waits.
  std::optional<quota_verdict> take_verdict(ticket call);
  /// @brief Decides the calls of a customer that can be decided.
  /// @return Requests to send now.
  std::vector<quota_request> advance(const base::customer_id& customer, base::instant now);
  /// @brief Returns when `advance` should be called again if no answer arrives before.
  base::instant next_event(const base::customer_id& customer, base::instant now) const;

  /// @brief Records an answer to a request for tokens.
  /// @param asked_at Time of the request; an answer to another request is ignored.
  void on_grant(std::size_t authority,
                const base::customer_id& customer,
                base::instant asked_at,
                const quota_grant& grant,
                base::instant now);
  /// @brief Records that an authority does not know a customer.
  void on_unknown(std::size_t authority,
                  const base::customer_id& customer,
                  base::instant asked_at,
                  base::instant now);
  /// @brief Records the lease that came with any reply. Must be called before the reply's grant is
  /// recorded.
  /// @param asked_at Time of the message that the reply answers; an older lease is ignored.
  /// @return Whether the authority should be sent a confirmation at once.
  bool on_lease(std::size_t authority,
                base::instant asked_at,
                const quota_lease& lease,
                base::instant now);

  /// @brief Returns the authorities that need a heartbeat now, and records it as sent.
  std::vector<std::size_t> heartbeats_due(base::instant now);
  /// @brief Returns the newest lease of an authority, which each message to it confirms.
  const quota_lease& lease_of(std::size_t authority) const { return peers_[authority].lease; }
  /// @brief Whether the authorities answered this host before, and none does now.
  bool detached(base::instant now) const;
  /// @brief Returns the fraction of each cap that this host may use while it is detached.
  double own_share(base::instant now) const;
  std::uint64_t expired_tokens() const { return expired_tokens_; }  ///< Granted and not used.

 private:
  struct peer {
    std::optional<double> response_us{};  ///< Moving average.
    base::instant silent_until = base::instant::min();
    int timeouts = 0;         ///< Since the last reply.
    unsigned unanswered = 0;  ///< Heartbeat intervals since the last reply.
    base::instant counted_at = base::instant::min();
    base::instant sent_at = base::instant::min();
    base::instant lease_asked_at = base::instant::min();
    base::instant lease_received_at = base::instant::min();
    quota_lease lease{};
  };
  struct question {
    base::instant asked_at{};
    std::uint32_t wanted = 0;
  };
  struct relation {  ///< Between a customer and an authority.
    std::optional<question> open{};
    base::instant refused_until = base::instant::min();
    base::instant refused_asked_at = base::instant::min();
    base::instant unanswered_asked_at = base::instant::min();
    base::instant unknown_until = base::instant::min();
    base::instant retry_at = base::instant::min();
    double tokens_left = 0;
  };
  struct waiting_call {
    ticket id = 0;
    base::instant submitted{};
  };
  struct token_batch {
    base::instant expires_at{};
    std::uint32_t count = 0;
    std::size_t authority = 0;
  };
  struct account {
    routes::customer_policy policy;
    std::deque<waiting_call> waiting;
    std::deque<token_batch> tokens;
    std::vector<relation> relations;  ///< By authority.
    std::uint32_t refused_unasked = 0;
    double own_tokens = 0;  ///< Of the own share, while detached.
    base::instant own_filled_at = base::instant::min();
  };

  base::duration timeout_of(const peer& authority) const;
  base::duration with_jitter(base::duration wait);
  bool closed_to(const account& owner,
                 std::size_t authority,
                 base::instant submitted,
                 base::instant now) const;
  void expire(account& owner, base::instant now);
  void hand_out(account& owner);
  std::optional<quota_request> next_request(account& owner, base::instant now);
  quota_verdict refusal(account& owner, base::instant now);
  quota_verdict decide_detached(account& owner, base::instant now);
  void decide_closed(account& owner, base::instant now);
  void decide(account& owner, const quota_verdict& verdict);
  relation* answered(std::size_t authority,
                     const base::customer_id& customer,
                     base::instant asked_at);

  quota_client_options options_;
  base::random_hook random_;
  std::vector<peer> peers_;
  std::map<base::customer_id, account> accounts_;
  std::map<ticket, quota_verdict> verdicts_;
  ticket last_ticket_ = 0;
  std::optional<base::instant> replied_at_{};  ///< Last reply of any authority.
  std::uint64_t expired_tokens_ = 0;
};

}  // namespace catkintack::limits
