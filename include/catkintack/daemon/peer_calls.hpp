/// @file
/// Calls and finished ids that hosts pass to each other.
#pragma once

#include <optional>
#include <vector>

#include "catkintack/base/hooks.hpp"
#include "catkintack/daemon/call_worker.hpp"
#include "catkintack/daemon/peer_directory.hpp"
#include "catkintack/delivery/request_identity.hpp"
#include "catkintack/net/delivery_messages.hpp"
#include "catkintack/net/peer_client.hpp"
#include "catkintack/net/peer_message.hpp"

namespace catkintack::daemon {

/// @brief Speaks with other hosts about requests. Safe for use by several threads.
class peer_calls {
 public:
  peer_calls(delivery::home self,
             std::string key,
             const peer_directory& directory,
             base::clock_hook clock);

  /// @brief Sends a call on to another host and waits for its end.
  /// @param host The other host.
  /// @param event The call.
  /// @param request What is to be sent upstream there.
  /// @param deadline Given up then.
  /// @return The end there, or nothing when no whole answer came.
  std::optional<delivery::final_answer> forward(const base::host_id& host,
                                                const gateway::call_arrived& event,
                                                const net::upstream_request& request,
                                                base::instant deadline);

  /// @brief Hands the finished ids of this incarnation to another host and names it to all.
  /// @param worker Knows the ids; it must have closed its registry.
  /// @param candidates Hosts to ask, in this order.
  /// @param deadline Given up then.
  /// @return Who took them.
  std::optional<base::host_id> hand_over(const call_worker& worker,
                                         const std::vector<base::host_id>& candidates,
                                         base::instant deadline);

  /// @brief Answers another host's forward_call or hand_over.
  /// @param worker Runs the calls of this host.
  /// @param request The request.
  /// @return The response.
  net::peer_response answer(call_worker& worker, const net::peer_request& request) const;

 private:
  std::optional<std::string> ask(const base::host_id& host,
                                 net::peer_request_kind kind,
                                 std::string body,
                                 base::instant deadline);
  bool send_table(const std::vector<delivery::hand_over_part>& parts,
                  const base::host_id& successor,
                  base::instant deadline);
  net::peer_response run(call_worker& worker, const std::string& body) const;
  net::peer_response take_over(call_worker& worker, const std::string& body) const;

  delivery::home self_;
  const peer_directory& directory_;
  base::clock_hook clock_;
  net::peer_client client_;
};

}  // namespace catkintack::daemon
