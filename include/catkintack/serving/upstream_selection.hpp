/// @file
/// Selects the upstream for a call.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "catkintack/choice/call_requirements.hpp"
#include "catkintack/choice/placement.hpp"
#include "catkintack/serving/call.hpp"
#include "catkintack/serving/share_ticket.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

/// @brief The selected upstream, or the decision that refuses the call.
struct upstream_selection {
  std::unique_ptr<upstream_connection> connection;  ///< Null when the call is refused.
  base::upstream_id upstream;
  choice::probe_result reading;  ///< Load reading of the selected upstream.
  choice::placement decision;    ///< The last placement decision.
  std::string considered;        ///< Candidates and their readings, for the log.
  unsigned rounds = 0;           ///< Number of probe rounds.
  std::string refusal;           ///< Why the call is refused, if a specific reason is known.
};

/// @brief Probes upstreams and holds the call until it can be sent or is refused.
/// @param executor Executor of the probes.
/// @param share Refuses, or allows to queue, a call of a customer while the service lacks capacity.
/// @param tried Upstreams that are excluded because the call was sent to them before.
/// @param is_obsolete Whether the search is no longer needed, which ends it; may be unset.
asio::awaitable<upstream_selection> select_upstream(traffic_state& state,
                                                    asio::any_io_executor executor,
                                                    call& served,
                                                    share_ticket& share,
                                                    base::service_id service,
                                                    const std::set<base::upstream_id>& tried,
                                                    std::function<bool()> is_obsolete = {});

}  // namespace catkintack::serving
