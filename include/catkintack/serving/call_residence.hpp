/// @file
/// The regions that may serve a call, by its route, its customer and the host that relayed it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "catkintack/choice/residence.hpp"
#include "catkintack/routes/customer_policy.hpp"
#include "catkintack/serving/call.hpp"
#include "catkintack/serving/http_message.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// Names the allowed regions of a relayed call, separated by commas. Only hosts use it among each
/// other.
inline constexpr std::string_view relay_regions_header = "Catkintack-Relay-Regions";

/// @brief Returns the regions that may serve an admitted call.
choice::residence residence_of(const call& served);

/// @brief Sets the regions that may serve a call.
/// @param customer Null if the call has none.
/// @param relayed Regions stated by the host that relayed the call; all for other calls.
void restrict_to_regions(call& admitted,
                         const routes::customer_policy* customer,
                         const choice::residence& relayed);

/// @brief Returns the refusal of a call that must not be served by this host, or nothing.
///
/// A call that no region may serve is refused. A relayed call is answered with 421 if this host is
/// not in an allowed region, so that the sender tries another host.
std::optional<local_response> refuse_by_residence(const traffic_state& state, const call& admitted);

/// @brief Reads the header of a relayed call.
/// @return All regions without the header, none if it is empty.
choice::residence read_relay_regions(const http::fields& headers);

/// @brief Formats the regions for the header.
/// @return Nothing for a name that the header cannot hold: an empty one, or one with a comma, a
/// space or a byte that is not printable ASCII.
std::optional<std::string> format_relay_regions(const choice::residence& allowed);

/// @brief Formats the regions for a log line; "all" without a restriction.
std::string describe(const choice::residence& allowed);

}  // namespace catkintack::serving
