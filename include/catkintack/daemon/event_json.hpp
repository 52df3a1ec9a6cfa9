/// @file
/// The JSON form of events, as served at /events.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "catkintack/base/event_record.hpp"

namespace catkintack::daemon {

/// @brief Writes an event.
/// @param record The event.
/// @return A JSON object.
nlohmann::json to_json(const base::event_record& record);

/// @brief Reads an event; throws nlohmann::json::exception for another shape.
/// @param value A JSON object.
/// @return The event.
base::event_record event_from_json(const nlohmann::json& value);

}  // namespace catkintack::daemon
