#include "catkintack/net/delivery_messages.hpp"

#include <memory>

namespace catkintack::net {
namespace {

using delivery::outcome;

}  // namespace

wire_final_answer to_wire(const delivery::final_answer& end) {
  wire_final_answer wire;
  wire.outcome = static_cast<std::uint8_t>(end.result);
  wire.status = end.status;
  wire.message = end.message;
  if (end.retry_after) {
    wire.retry_after_us.push_back(static_cast<std::uint64_t>(end.retry_after->count()));
  }
  if (end.upstream_answer) {
    wire.answer.push_back(*end.upstream_answer);
  }
  return wire;
}

std::optional<delivery::final_answer> from_wire(const wire_final_answer& wire) {
  const auto result = static_cast<outcome>(wire.outcome);
  const bool known =
      result == outcome::answer || result == outcome::not_run || result == outcome::unknown;
  if (!known || (result == outcome::answer) != (wire.answer.size() == 1) ||
      wire.retry_after_us.size() > 1) {
    return std::nullopt;
  }
  delivery::final_answer end{result, wire.status, nullptr, wire.message, std::nullopt};
  if (!wire.retry_after_us.empty()) {
    end.retry_after = base::duration(wire.retry_after_us.front());
  }
  if (!wire.answer.empty()) {
    end.upstream_answer = std::make_shared<const delivery::answer>(wire.answer.front());
  }
  return end;
}

hand_over_message to_wire(const delivery::hand_over_part& part, const base::host_id& successor) {
  hand_over_message wire{part.leaver.host,  part.leaver.run, successor,
                         part.oldest_epoch, part.last,       {}};
  for (const delivery::finished_request& finished : part.entries) {
    wire.entries.push_back({finished.id, finished.fingerprint, to_wire(finished.end)});
  }
  return wire;
}

std::optional<delivery::hand_over_part> from_wire(const hand_over_message& wire) {
  delivery::hand_over_part part{{wire.leaver, wire.run}, wire.oldest_epoch, wire.last, {}};
  for (const wire_finished_request& finished : wire.entries) {
    const auto end = from_wire(finished.end);
    if (!end) {
      return std::nullopt;
    }
    part.entries.push_back({finished.id, finished.fingerprint, *end});
  }
  return part;
}

}  // namespace catkintack::net
