#include "catkintack/config/watcher_choice.hpp"

#include <xxhash.h>

#include <utility>

namespace catkintack::config {
namespace {

/// Returns the host's rank; the name breaks ties.
std::pair<std::uint64_t, base::host_id> rank_of(const base::host_id& host) {
  return {XXH3_64bits(host.value().data(), host.value().size()), host};
}

}  // namespace

bool watches_store(const base::host_id& self,
                   const std::vector<base::host_id>& others,
                   std::size_t watchers) {
  const auto own = rank_of(self);
  std::size_t ahead = 0;
  for (const base::host_id& other : others) {
    ahead += rank_of(other) > own ? 1 : 0;
  }
  return ahead < watchers;
}

}  // namespace catkintack::config
