#include "catkintack/net/delivery_messages.hpp"

#include <memory>

namespace catkintack::net {
namespace {

using delivery::outcome;

}  // namespace

wire_final_response to_wire(const delivery::final_response& response) {
  wire_final_response wire;
  wire.outcome = static_cast<std::uint8_t>(response.result);
  wire.status = response.status;
  wire.message = response.message;
  if (response.retry_after) {
    wire.retry_after_us.push_back(static_cast<std::uint64_t>(response.retry_after->count()));
  }
  if (response.upstream_response) {
    wire.upstream_response.push_back(*response.upstream_response);
  }
  return wire;
}

std::optional<delivery::final_response> from_wire(const wire_final_response& wire) {
  const auto result = static_cast<outcome>(wire.outcome);
  const bool known =
      result == outcome::answer || result == outcome::not_run || result == outcome::unknown;
  if (!known || (result == outcome::answer) != (wire.upstream_response.size() == 1) ||
      wire.retry_after_us.size() > 1) {
    return std::nullopt;
  }
  delivery::final_response response{result, wire.status, nullptr, wire.message, std::nullopt};
  if (!wire.retry_after_us.empty()) {
    response.retry_after = base::duration(wire.retry_after_us.front());
  }
  if (!wire.upstream_response.empty()) {
    response.upstream_response =
        std::make_shared<const delivery::upstream_response>(wire.upstream_response.front());
  }
  return response;
}

hand_over_message to_wire(const delivery::hand_over_part& part, const base::host_id& successor) {
  hand_over_message wire{
      part.predecessor.host, part.predecessor.run, successor, part.oldest_epoch, part.last, {}};
  for (const delivery::finished_request& finished : part.entries) {
    wire.entries.push_back({finished.id, finished.fingerprint, to_wire(finished.response)});
  }
  return wire;
}

std::optional<delivery::hand_over_part> from_wire(const hand_over_message& wire) {
  delivery::hand_over_part part{{wire.predecessor, wire.run}, wire.oldest_epoch, wire.last, {}};
  for (const wire_finished_request& finished : wire.entries) {
    const auto response = from_wire(finished.response);
    if (!response) {
      return std::nullopt;
    }
    part.entries.push_back({finished.id, finished.fingerprint, *response});
  }
  return part;
}

}  // namespace catkintack::net
