/// @file
/// Identifier types shared by all modules.
#pragma once

#include "catkintack/base/strong_id.hpp"
#include "catkintack/base/strong_number.hpp"

namespace catkintack::base {

using host_id = strong_id<struct host_tag>;      ///< A gateway host.
using region_id = strong_id<struct region_tag>;  ///< Group of nearby failure domains.
using failure_domain_id = strong_id<struct failure_domain_tag>;  ///< Hosts that can fail together.
using service_id = strong_id<struct service_tag>;                ///< A service behind the gateway.
using upstream_id = strong_id<struct upstream_tag>;              ///< One endpoint of a service.
using customer_id = strong_id<struct customer_tag>;              ///< Owner of an API key.
using plan_id = strong_id<struct plan_tag>;  ///< Set of allowances; each customer has one plan.
using request_id = strong_id<struct request_tag>;  ///< A caller's request, including its repeats.
/// Digest of what a request asks for, the same in each attempt of its caller.
using request_fingerprint = strong_id<struct request_fingerprint_tag>;

using incarnation = strong_number<struct incarnation_tag>;    ///< One run of a host's daemon.
using list_version = strong_number<struct list_version_tag>;  ///< A version of an operators' list.
using registry_era =
    strong_number<struct registry_era_tag>;                ///< Rises when the registry is restored.
using edit_id = strong_number<struct edit_tag>;            ///< An edit of a list; random.
using call_id = strong_number<struct call_tag>;            ///< A request as received by one daemon.
using attempt_number = strong_number<struct attempt_tag>;  ///< An attempt of a call, from 1.

}  // namespace catkintack::base
