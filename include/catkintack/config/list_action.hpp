/// @file
/// Actions that list_sync requests from its caller.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "catkintack/base/event_record.hpp"
#include "catkintack/base/ids.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/config/list_body.hpp"

namespace catkintack::config {

/// @brief Read a list from the store. The caller reports the result with on_store_value() or
/// on_store_failed().
struct read_store {
  list_kind kind;
};

/// @brief Wait for a change of a list in the store. The caller reports the result as for
/// read_store, or with on_store_unchanged().
struct watch_store {
  list_kind kind;
  std::uint64_t after_revision = 0;
  base::duration wait{};
};

/// @brief Fetch the lists that a peer uses. The caller reports the result with on_fetched() or
/// on_fetch_failed().
struct fetch_lists {
  base::host_id from;
};

/// @brief Put a list in force on this host.
struct adopt_list {
  shared_body body;
};

/// @brief Record an event.
struct record_event {
  std::string kind;
  std::vector<base::event_field> fields;
};

/// An action for the caller of list_sync.
using list_action = std::variant<read_store, watch_store, fetch_lists, adopt_list, record_event>;

}  // namespace catkintack::config
