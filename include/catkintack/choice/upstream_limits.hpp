/// @file
/// Limits that upstreams named for the requests of all hosts together.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/request_rate.hpp"
#include "catkintack/base/units.hpp"

namespace catkintack::choice {

/// @brief The limit of an upstream, as hosts exchange it.
struct limit_state {
  std::optional<base::request_rate> limit{};  ///< Empty if the upstream named none.
  /// Rises with each change, on whichever host it is seen. Unlike the time of a change it stays the
  /// same on its way from host to host, so that a message that comes back is not taken for news.
  std::uint64_t version = 0;

  bool operator==(const limit_state&) const = default;
};

/// @brief The newest known limit of each upstream. Not thread-safe.
///
/// An upstream may name another value in each response. Only considerable changes get a version,
/// and not in quick succession, as each is told to all hosts. This host uses each value at once.
class upstream_limits {
 public:
  /// @brief Records that a response named a limit.
  /// @return Whether the limit began or changed considerably.
  bool on_named(const base::upstream_id& id, base::request_rate limit, base::instant now);
  /// @brief Records that an upstream answered a call without naming a limit, which ends an earlier
  /// one.
  /// @return Whether there was one. An answer that may have begun before the limit was named does
  /// not count.
  bool on_not_named(const base::upstream_id& id, base::instant now);
  /// @brief Records what another host knows.
  /// @return Whether it is news. Of two changes with the same version, the lower limit counts.
  bool on_report(const base::upstream_id& id, const limit_state& reported, base::instant now);

  /// @brief Returns the limit of an upstream, or nothing if it has none.
  std::optional<base::request_rate> limit_of(const base::upstream_id& id) const;
  /// @brief Returns what is known about an upstream; version 0 if that is nothing.
  limit_state state_of(const base::upstream_id& id) const;
  /// @brief Removes the record of an upstream that was restarted or no longer exists.
  void forget(const base::upstream_id& id) { known_.erase(id); }

  /// @brief Whether no upstream has named a limit so far.
  bool empty() const { return known_.empty(); }
  /// @brief Number of the last change, which rises with each of them.
  std::uint64_t last_change() const { return last_change_; }
  /// @brief Returns the upstreams whose limit changed after the given change.
  std::vector<base::upstream_id> changed_since(std::uint64_t change) const;

 private:
  struct record {
    limit_state state;
    std::optional<base::request_rate> latest{};  ///< The limit named last.
    base::instant named_at = base::instant::min();
    base::instant changed_at = base::instant::min();
    std::uint64_t change = 0;
  };

  void change_to(record& known, const limit_state& state, base::instant now);

  std::map<base::upstream_id, record> known_;
  std::uint64_t last_change_ = 0;
};

}  // namespace catkintack::choice
