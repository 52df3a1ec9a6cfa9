/// @file
/// The platform's host list: which hosts and upstreams are live or leaving.
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

/// @brief One reading of the host list; it may lag.
struct host_list {
  std::vector<membership::gateway_record> gateways;
  std::vector<routing::upstream_record> upstreams;
};

/// @brief Reads the JSON form of the host list.
/// @param text The JSON text.
/// @return The list, or a net_error naming the fault.
boost::leaf::result<host_list> parse_host_list(const std::string& text);

/// @brief Fetches the host list's text.
/// @param address Address of the host list.
/// @param timeout The longest wait.
/// @return The JSON text, or a net_error.
boost::leaf::result<std::string> fetch_host_list_text(const base::address& address,
                                                      base::duration timeout);

/// @brief Fetches the host list.
/// @param address Address of the host list.
/// @param timeout The longest wait.
/// @return The list, or a net_error.
boost::leaf::result<host_list> fetch_host_list(const base::address& address,
                                               base::duration timeout);

}  // namespace catkintack::net
