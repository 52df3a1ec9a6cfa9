#include "forwarded_call.hpp"

namespace catkintack::daemon {

gateway::call_arrived to_event(const net::forwarded_call& call) {
  gateway::call_arrived event;
  event.request = call.request;
  event.key_hash = call.key_hash;
  event.service = call.service;
  event.time_left = base::duration(call.time_left_us);
  event.fingerprint = call.fingerprint;
  event.depth = call.depth;
  if (!call.retries_left.empty()) {
    event.retries_left = call.retries_left.front();
  }
  event.forwarded = true;
  return event;
}

net::forwarded_call to_message(const gateway::call_arrived& event,
                               const net::upstream_request& request,
                               base::duration time_left) {
  net::forwarded_call call;
  call.request = event.request;
  call.key_hash = event.key_hash;
  call.service = event.service;
  call.time_left_us = static_cast<std::uint64_t>(time_left.count());
  call.fingerprint = event.fingerprint;
  call.depth = event.depth;
  if (event.retries_left) {
    call.retries_left.push_back(*event.retries_left);
  }
  call.method = request.method;
  call.target = request.target;
  call.headers = request.headers;
  call.body = request.body;
  return call;
}

}  // namespace catkintack::daemon
