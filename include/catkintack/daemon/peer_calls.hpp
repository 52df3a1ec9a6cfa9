/// @file
/// Forwarded calls and hand-overs of finished request ids between hosts.
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

/// @brief Sends and answers the peer requests that concern calls. Thread-safe.
class peer_calls {
 public:
  peer_calls(delivery::host_incarnation self,
             std::string key,
             const peer_directory& directory,
             base::clock_hook clock);

  /// @brief Forwards a call to another host and waits for its final answer.
  /// @param request The request that the other host sends to an upstream.
  /// @param deadline When to stop waiting.
  /// @return The final answer of the other host, or no value when no complete answer came.
  std::optional<delivery::final_response> forward(const base::host_id& host,
                                                  const gateway::call_arrived& event,
                                                  const net::upstream_request& request,
                                                  base::instant deadline);

  /// @brief Hands the finished request ids of this incarnation over to another host and tells all
  /// hosts who the successor is.
  /// @param worker Holds the ids; its registry must be closed.
  /// @param candidates Hosts to try as the successor, in this order.
  /// @param deadline When to stop trying.
  /// @return The successor, or no value when no candidate accepted the ids.
  std::optional<base::host_id> hand_over(const call_worker& worker,
                                         const std::vector<base::host_id>& candidates,
                                         base::instant deadline);

  /// @brief Answers a forward_call or hand_over request of another host.
  net::peer_response answer(call_worker& worker, const net::peer_request& request) const;

 private:
  std::optional<std::string> call_peer(const base::host_id& host,
                                       net::peer_request_kind kind,
                                       std::string body,
                                       base::instant deadline);
  bool send_parts(const std::vector<delivery::hand_over_part>& parts,
                  const base::host_id& successor,
                  base::instant deadline);
  net::peer_response run_forwarded_call(call_worker& worker, const std::string& body) const;
  net::peer_response accept_hand_over(call_worker& worker, const std::string& body) const;

  delivery::host_incarnation self_;
  const peer_directory& directory_;
  base::clock_hook clock_;
  net::peer_client client_;
};

}  // namespace catkintack::daemon
