/// @file
/// Reads the platform's host list, which names the live and leaving hosts and upstreams.
#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/membership/gateway_record.hpp"
#include "catkintack/net/net_error.hpp"
#include "catkintack/routing/upstream_record.hpp"

namespace catkintack::net {

/// @brief Snapshot of the host list; it may be out of date.
struct host_list {
  std::vector<membership::gateway_record> gateways;
  std::vector<routing::upstream_record> upstreams;
  std::vector<std::string> skipped;  ///< Why entries of upstreams were skipped as malformed.
};

/// @brief Parses the host list from JSON. Malformed entries of upstreams are skipped.
/// @return The list, or a net_error of kind malformed that names the invalid value.
boost::leaf::result<host_list> parse_host_list(const std::string& text);

/// @brief Fetches the host list as JSON text.
/// @param address Address of the host list server.
/// @param timeout Limit for the connect, in whole seconds, and for each read.
/// @return The JSON text, or a net_error of kind unreachable.
boost::leaf::result<std::string> fetch_host_list_text(const base::address& address,
                                                      base::duration timeout);

/// @brief Fetches and parses the host list.
/// @param address Address of the host list server.
/// @param timeout Limit for the connect, in whole seconds, and for each read.
/// @return The list, or a net_error of kind unreachable or malformed.
boost::leaf::result<host_list> fetch_host_list(const base::address& address,
                                               base::duration timeout);

}  // namespace catkintack::net
