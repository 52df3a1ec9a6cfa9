#include <xxhash.h>

#include <utility>

#include "catkintack/gateway/gateway.hpp"
#include "local_responses.hpp"

namespace catkintack::gateway {
namespace {

using delivery::final_response;
using delivery::handed_over_state;
using delivery::outcome;
using delivery::registry_state;

constexpr int status_bad_request = 400;
constexpr int status_mismatch = 422;
constexpr int status_timeout = 504;

/// Binds an id to its customer and request, so that no caller receives another caller's response.
std::uint64_t fingerprint_of(const call_arrived& event) {
  const std::string text =
      event.key_hash + "\n" + event.service.value() + "\n" + std::to_string(event.fingerprint);
  return XXH3_64bits(text.data(), text.size());
}

final_response mismatched_response() {
  return not_run_response(status_mismatch, "the request id was used for another request");
}

}  // namespace

void gateway::on(base::instant now, const call_arrived& event) {
  if (event.idempotent || event.request.empty()) {
    admit(now, event);
  } else if (options_.self) {
    route_by_owner(now, event);
  } else {
    arrive_at_owner(now, event, 0);
  }
}

void gateway::route_by_owner(base::instant now, const call_arrived& event) {
  const auto identity = delivery::parse_request_id(event.request);
  if (!identity) {
    respond_immediately(
        event, not_run_response(status_bad_request, "request id \"" + event.request.value() +
                                                        "\" was not made from a Catkintack-Token"));
    return;
  }
  if (identity->owner == *options_.self) {
    arrive_at_owner(now, event, identity->epoch);
    return;
  }
  const auto table = handed_over_tables_.find(identity->owner);
  if (table != handed_over_tables_.end()) {
    arrive_at_successor(event, table->second, identity->epoch);
    return;
  }
  const auto successor = successors_.find(identity->owner);
  const base::host_id& host =
      successor == successors_.end() ? identity->owner.host : successor->second;
  if (event.forwarded || host == options_.self->host) {
    respond_immediately(event, unknown_response("incarnation " + to_string(identity->owner) +
                                                " is gone; the request may have run"));
    return;
  }
  forward(now, event, host);
}

void gateway::arrive_at_owner(base::instant now, const call_arrived& event, std::uint64_t epoch) {
  switch (registry_.register_arrival({event.request, epoch, fingerprint_of(event), event.call})) {
    case registry_state::first_seen:
      admit(now, event);
      return;
    case registry_state::running:
      recorder_("delivery", "repeat_waits", event.request, {});
      waiting_repeats_[event.call] = {event.request, deadline_of(now, event)};
      return;
    case registry_state::finished:
      recorder_("delivery", "repeat_answered", event.request, {});
      actions_.emplace_back(finish_call{event.call, *registry_.recorded_response(event.request)});
      return;
    case registry_state::evicted:
      respond_immediately(
          event, unknown_response("the request id is too old to be remembered; it may have run"));
      return;
    case registry_state::never_issued:
      respond_immediately(event,
                          not_run_response(status_bad_request,
                                           "the request id was made from a token never given out"));
      return;
    case registry_state::mismatched:
      respond_immediately(event, mismatched_response());
      return;
    case registry_state::closed:
      respond_immediately(
          event, unavailable_response("this host is stopping; make a new request id elsewhere"));
      return;
  }
}

void gateway::arrive_at_successor(const call_arrived& event,
                                  const delivery::handed_over_table& table,
                                  std::uint64_t epoch) {
  switch (table.find(event.request, epoch, fingerprint_of(event))) {
    case handed_over_state::finished:
      recorder_("delivery", "repeat_answered", event.request, {});
      actions_.emplace_back(finish_call{event.call, table.recorded_response(event.request)});
      return;
    case handed_over_state::not_run:
      respond_immediately(event,
                          unavailable_response("the id's host stopped before the request ran; "
                                               "make a new request id"));
      return;
    case handed_over_state::unknown:
      respond_immediately(event, unknown_response("the id's host stopped and what is known "
                                                  "of its ids is not complete; "
                                                  "the request may have run"));
      return;
    case handed_over_state::mismatched:
      respond_immediately(event, mismatched_response());
      return;
  }
}

void gateway::forward(base::instant now, const call_arrived& event, const base::host_id& host) {
  if (may_be_cut(now, event)) {
    // An earlier copy of the request may have run at the other host.
    respond_immediately(event,
                        unknown_response("this host stops before the request could end; repeat it "
                                         "at another host"));
    return;
  }
  recorder_("delivery", "forwarded", event.request, {{"home", host.value()}});
  forwarded_[event.call] = event.request;
  actions_.emplace_back(forward_call{event.call, host, deadline_of(now, event)});
}

void gateway::on(base::instant /*now*/, const forward_ended& event) {
  const auto found = forwarded_.find(event.call);
  if (found == forwarded_.end()) {
    return;
  }
  const final_response response = event.response.value_or(
      unknown_response("the host that the request id belongs to gave no whole answer; "
                       "the request may have run"));
  recorder_("delivery", "forward_ended", found->second, {{"outcome", to_string(response.result)}});
  forwarded_.erase(found);
  actions_.emplace_back(finish_call{event.call, response});
}

void gateway::on(base::instant /*now*/, const leave_begun& event) { cut_at_ = event.cut_at; }

void gateway::on(base::instant /*now*/, const stop_begun& /*event*/) {
  registry_.close();
  recorder_("delivery", "closed", {}, {{"ids", std::to_string(registry_.size())}});
}

void gateway::on(base::instant /*now*/, const handed_over& event) {
  const delivery::host_incarnation& predecessor = event.part.predecessor;
  const auto [table, added] = handed_over_tables_.try_emplace(predecessor);
  table->second.add(event.part);
  recorder_("delivery", "handed_over", {},
            {{"from", to_string(predecessor)}, {"ids", std::to_string(event.part.entries.size())}});
  if (added) {
    handed_over_table_order_.push_back(predecessor);
  }
  if (handed_over_table_order_.size() > options_.max_handed_over_tables) {
    handed_over_tables_.erase(handed_over_table_order_.front());
    handed_over_table_order_.erase(handed_over_table_order_.begin());
  }
}

void gateway::on(base::instant /*now*/, const successor_named& event) {
  if (successors_.insert_or_assign(event.predecessor, event.successor).second) {
    successor_order_.push_back(event.predecessor);
  }
  if (successor_order_.size() > options_.max_successors) {
    successors_.erase(successor_order_.front());
    successor_order_.pop_front();
  }
  recorder_("delivery", "successor_named", {},
            {{"leaver", to_string(event.predecessor)}, {"successor", event.successor.value()}});
}

void gateway::respond_immediately(const call_arrived& event, const final_response& response) {
  recorder_("delivery", "answered_at_once", event.request,
            {{"outcome", to_string(response.result)}});
  actions_.emplace_back(finish_call{event.call, response});
}

void gateway::finish_request(const base::request_id& request,
                             bool idempotent,
                             const final_response& response) {
  if (idempotent) {
    return;
  }
  for (const base::call_id repeat : registry_.finish(request, response)) {
    if (waiting_repeats_.erase(repeat) > 0) {
      actions_.emplace_back(finish_call{repeat, response});
    }
  }
}

void gateway::expire_waiting_repeats(base::instant now) {
  for (auto waiting = waiting_repeats_.begin(); waiting != waiting_repeats_.end();) {
    if (now < waiting->second.deadline) {
      ++waiting;
      continue;
    }
    recorder_("delivery", "repeat_timed_out", waiting->second.request, {});
    actions_.emplace_back(finish_call{
        waiting->first,
        unknown_response("the request did not end before this repeat's deadline", status_timeout)});
    waiting = waiting_repeats_.erase(waiting);
  }
}

bool gateway::may_be_cut(base::instant now, const call_arrived& event) const {
  return cut_at_ && deadline_of(now, event) > *cut_at_;
}

base::instant gateway::deadline_of(base::instant now, const call_arrived& event) const {
  return now + event.time_left.value_or(options_.default_time_left);
}

}  // namespace catkintack::gateway
