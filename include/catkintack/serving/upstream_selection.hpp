/// @file
/// Finds the upstream for a call.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "catkintack/choice/call_requirements.hpp"
#include "catkintack/choice/placement.hpp"
#include "catkintack/serving/call.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief A chosen upstream, or why there is none.
struct upstream_selection {
  std::unique_ptr<upstream_connection> connection;  ///< Null when the call is refused.
  base::upstream_id upstream;
  choice::probe_result reading;  ///< Of the chosen upstream.
  choice::placement decision;    ///< The last decision.
  std::string considered;        ///< Candidates with readings, for the log.
  unsigned rounds = 0;           ///< Rounds of probes.
};

/// @brief Probes and decides until the call can be sent or is refused.
/// @param state The traffic side.
/// @param executor Where probes run.
/// @param served The call.
/// @param service The service it goes to.
/// @param tried Upstreams that must not get it again.
asio::awaitable<upstream_selection> select_upstream(traffic_state& state,
                                                    asio::any_io_executor executor,
                                                    call& served,
                                                    base::service_id service,
                                                    const std::set<base::upstream_id>& tried);

}  // namespace catkintack::serving
