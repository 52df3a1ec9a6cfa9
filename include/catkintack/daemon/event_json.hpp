/// @file
/// JSON format of events, as served at /events.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "catkintack/base/event_record.hpp"

namespace catkintack::daemon {

/// @brief Converts an event to a JSON object.
nlohmann::json to_json(const base::event_record& record);

/// @brief Parses an event; throws nlohmann::json::exception when a field is missing or has another
/// type.
base::event_record event_from_json(const nlohmann::json& value);

}  // namespace catkintack::daemon
