/// @file
/// An authority's share of the caps of all customers.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "catkintack/base/address.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/limits/quota_bounds.hpp"
#include "catkintack/limits/quota_grant.hpp"
#include "catkintack/limits/quota_lease.hpp"
#include "catkintack/routes/customer_policy.hpp"

namespace catkintack::limits {

/// @brief Parameters of an authority.
struct quota_pool_options {
  std::size_t authority_count = 1;  ///< Each authority holds an equal part of each cap.
  base::incarnation run{};          ///< Different in each run of the process; not 0.
  quota_bounds bounds{};
  /// A host is missing when the newest reply that it confirmed is older. Must be shorter than
  /// quota_client_options::detach_after, so that a share is reserved before the host uses it.
  base::duration missing_after = std::chrono::milliseconds(1200);
  /// A lease is reserved for so long after it was sent.
  base::duration lease_time = std::chrono::minutes(10);
  /// A first run gives no leases until then, since it has not counted the hosts yet.
  base::duration counting_time = std::chrono::seconds(2);
  /// Hosts with a share of an earlier holder of the slot; 0 for the first holder or a restart.
  std::uint32_t inherited_hosts = 0;
  /// Time between the first message of a host and the use of its share. After a change of
  /// the holder it must be longer than missing_after: until then, the former holder may not have
  /// reserved the share of the host.
  base::duration handover_time{};
  /// Longest time after which a refused caller should retry.
  base::duration max_retry_after = std::chrono::seconds(3);
};

/// @brief Token buckets of an authority, and the hosts that use them. Not thread-safe.
///
/// The shares of missing hosts are deducted from rate and capacity of each bucket before the hosts
/// begin to use them. The sum of all buckets and leases therefore never exceeds the cap.
class quota_pool {
 public:
  quota_pool(quota_pool_options options, base::instant started_at);

  /// @brief Records a message of a host.
  /// @param confirmed The newest lease that the host received from this authority, in any run.
  void on_message(const base::address& host, const quota_lease& confirmed, base::instant now);
  /// @brief Removes a host that stops and will not use its lease.
  void on_leave(const base::address& host);
  /// @brief Returns the lease to send to a host with a reply.
  quota_lease lease(const base::address& host, base::instant now);

  /// @brief Takes tokens for calls of a customer.
  /// @param wanted Calls that wait for a token.
  /// @param refused_before Calls that the host refused without asking; their callers retry too.
  quota_grant take(const routes::customer_policy& customer,
                   std::uint32_t wanted,
                   std::uint32_t refused_before,
                   base::instant now);

  /// @brief Fraction of this authority's shares that is reserved for missing hosts.
  double reserved(base::instant now);
  std::size_t missing_count() const { return missing_count_; }  ///< As of the last evaluation.
  std::size_t host_count() const;
  std::size_t size() const { return buckets_.size(); }  ///< Customers with a token bucket.

 private:
  struct host_record {
    base::instant first_heard_at{};
    base::instant heard_at{};
    quota_lease last_sent{};
    double held_share = 0;  ///< The largest share that the host may have received last.
    /// Sending time of the newest reply that the host confirmed.
    base::instant confirmed_at = base::instant::min();
  };
  struct bucket {
    double rate = 0;
    double capacity = 0;
    double tokens = 0;
    base::instant filled_at{};
    base::instant line_end{};  ///< Retry time of the last refused caller.
  };

  void set_held(host_record& host, double share);
  void refresh(base::instant now);
  void fill(bucket& target, base::instant now) const;
  bucket& bucket_of(const routes::customer_policy& customer, base::instant now);
  double initial_tokens(double burst) const;

  quota_pool_options options_;
  base::instant started_at_;
  std::map<base::address, host_record> hosts_;
  std::map<base::customer_id, bucket> buckets_;
  double held_total_ = 0;
  std::uint32_t inherited_count_ = 0;  ///< Hosts that an earlier run had counted.
  std::size_t confirmed_count_ = 0;    ///< Hosts that confirmed a lease of this run.
  std::size_t missing_count_ = 0;
  double reserved_ = 0;
  base::instant reserved_since_;
  base::instant refreshed_at_ = base::instant::min();
};

}  // namespace catkintack::limits
