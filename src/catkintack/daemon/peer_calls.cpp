#include "catkintack/daemon/peer_calls.hpp"

#include <algorithm>
#include <utility>

#include "catkintack/net/peer_codec.hpp"
#include "forwarded_call.hpp"

namespace catkintack::daemon {
namespace {

using net::peer_request_kind;

constexpr std::size_t max_part_bytes = 4U << 20U;
constexpr std::size_t bytes_per_entry = 256;  // Estimated size without message and body.
constexpr base::duration hand_over_timeout = std::chrono::seconds(2);  // Per message.

net::peer_response refusal(std::string reason) { return {false, 0, std::move(reason)}; }

std::size_t estimated_size(const delivery::finished_request& finished) {
  const auto& answer = finished.response.upstream_response;
  return bytes_per_entry + finished.response.message.size() + (answer ? answer->body.size() : 0);
}

/// Splits the finished requests into parts that each fit into one message.
std::vector<delivery::hand_over_part> split_into_parts(delivery::hand_over_part whole) {
  std::vector<delivery::finished_request> entries = std::exchange(whole.entries, {});
  std::vector<delivery::hand_over_part> parts(1, whole);
  std::size_t bytes = 0;
  for (delivery::finished_request& finished : entries) {
    bytes += estimated_size(finished);
    if (bytes > max_part_bytes) {
      parts.push_back(whole);
      bytes = estimated_size(finished);
    }
    parts.back().entries.push_back(std::move(finished));
  }
  parts.back().last = true;
  return parts;
}

}  // namespace

peer_calls::peer_calls(delivery::host_incarnation self,
                       std::string key,
                       const peer_directory& directory,
                       base::clock_hook clock)
    : self_(std::move(self)),
      directory_(directory),
      clock_(std::move(clock)),
      client_(std::move(key)) {}

std::optional<std::string> peer_calls::call_peer(const base::host_id& host,
                                                 peer_request_kind kind,
                                                 std::string body,
                                                 base::instant deadline) {
  const auto peer = directory_.find(host);
  const base::duration time_left = deadline - clock_();
  if (!peer || time_left <= base::duration::zero()) {
    return std::nullopt;
  }
  const net::peer_request request{self_.host, self_.run, kind, 0, std::move(body)};
  const auto response = client_.call(peer->peers, request, time_left);
  if (!response || !response.value().accepted) {
    return std::nullopt;
  }
  return response.value().body;
}

std::optional<delivery::final_response> peer_calls::forward(const base::host_id& host,
                                                            const gateway::call_arrived& event,
                                                            const net::upstream_request& request,
                                                            base::instant deadline) {
  const base::duration time_left = std::max(deadline - clock_(), base::duration::zero());
  const net::forwarded_call call = to_message(event, request, time_left);
  const auto body = call_peer(host, peer_request_kind::forward_call, net::encode(call), deadline);
  if (!body) {
    return std::nullopt;
  }
  const auto wire = net::decode<net::wire_final_response>(*body);
  return wire ? net::from_wire(wire.value()) : std::nullopt;
}

std::optional<base::host_id> peer_calls::hand_over(const call_worker& worker,
                                                   const std::vector<base::host_id>& candidates,
                                                   base::instant deadline) {
  const auto parts = split_into_parts(worker.export_finished_requests(self_));
  for (const base::host_id& candidate : candidates) {
    if (!send_parts(parts, candidate, deadline)) {
      continue;
    }
    const std::string notice =
        net::encode(net::hand_over_message{self_.host, self_.run, candidate, 0, false, {}});
    for (const membership::gateway_record& host : directory_.hosts()) {
      if (host.host != self_.host && host.host != candidate) {
        call_peer(host.host, peer_request_kind::hand_over, notice,
                  std::min(deadline, clock_() + hand_over_timeout));
      }
    }
    return candidate;
  }
  return std::nullopt;
}

bool peer_calls::send_parts(const std::vector<delivery::hand_over_part>& parts,
                            const base::host_id& successor,
                            base::instant deadline) {
  return std::all_of(parts.begin(), parts.end(), [&](const delivery::hand_over_part& part) {
    const base::instant limit = std::min(deadline, clock_() + hand_over_timeout);
    const std::string body = net::encode(net::to_wire(part, successor));
    return call_peer(successor, peer_request_kind::hand_over, body, limit).has_value();
  });
}

net::peer_response peer_calls::answer(call_worker& worker, const net::peer_request& request) const {
  switch (request.kind) {
    case peer_request_kind::forward_call:
      return run_forwarded_call(worker, request.body);
    case peer_request_kind::hand_over:
      return accept_hand_over(worker, request.body);
    case peer_request_kind::fetch_lists:
      break;
  }
  return refusal("this kind of request is not answered here");
}

net::peer_response peer_calls::run_forwarded_call(call_worker& worker,
                                                  const std::string& body) const {
  const auto decoded = net::decode<net::forwarded_call>(body);
  if (!decoded) {
    return refusal("the forwarded call is malformed");
  }
  const net::forwarded_call& call = decoded.value();
  const auto end = worker.run(to_event(call), {call.method, call.target, call.headers, call.body});
  return {true, 0, net::encode(net::to_wire(end))};
}

net::peer_response peer_calls::accept_hand_over(call_worker& worker,
                                                const std::string& body) const {
  const auto message = net::decode<net::hand_over_message>(body);
  if (!message) {
    return refusal("the hand-over is malformed");
  }
  const auto part = net::from_wire(message.value());
  if (!part) {
    return refusal("the hand-over has an entry that makes no sense");
  }
  if (message.value().successor == self_.host) {
    worker.submit(gateway::handed_over{*part});
  } else {
    worker.submit(gateway::successor_named{part->predecessor, message.value().successor});
  }
  return {true, 0, {}};
}

}  // namespace catkintack::daemon
