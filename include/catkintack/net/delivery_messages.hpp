/// @file
/// Messages between hosts about forwarded and finished requests.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "catkintack/delivery/final_response.hpp"
#include "catkintack/delivery/handed_over_table.hpp"

namespace catkintack::net {

/// @brief Body of a forward_call request.
struct forwarded_call {
  base::request_id request;
  std::string key_hash;
  base::service_id service;
  std::uint64_t time_left_us = 0;
  std::uint64_t fingerprint = 0;
  std::uint32_t depth = 0;
  std::vector<std::uint32_t> retries_left;  ///< Empty or one value.
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(request, key_hash, service, time_left_us, fingerprint, depth, retries_left, method,
            target, headers, body);
  }
};

/// @brief Encoding of delivery::final_response; body of the response to forward_call.
struct wire_final_response {
  std::uint8_t outcome = 0;
  std::int32_t status = 0;
  std::string message;
  std::vector<std::uint64_t> retry_after_us;                   ///< Empty or one value.
  std::vector<delivery::upstream_response> upstream_response;  ///< Empty or one value.

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(outcome, status, message, retry_after_us, upstream_response);
  }
};

/// @brief Encoding of delivery::finished_request.
struct wire_finished_request {
  base::request_id id;
  std::uint64_t fingerprint = 0;
  wire_final_response response;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, fingerprint, response);
  }
};

/// @brief Body of a hand_over request. It is sent to the successor with entries, and then to all
/// other hosts without entries, to name the successor.
struct hand_over_message {
  base::host_id predecessor;
  base::incarnation run;
  base::host_id successor;
  std::uint64_t oldest_epoch = 0;
  bool last = false;
  std::vector<wire_finished_request> entries;

  /// @brief Serializes with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(predecessor, run, successor, oldest_epoch, last, entries);
  }
};

/// @brief Converts a final response to its encoding.
wire_final_response to_wire(const delivery::final_response& response);

/// @brief Converts a final response from its encoding.
/// @return The final response, or nothing when the message is inconsistent.
std::optional<delivery::final_response> from_wire(const wire_final_response& wire);

/// @brief Converts a part of a hand-over to its encoding.
/// @param successor Host that takes over the finished requests.
hand_over_message to_wire(const delivery::hand_over_part& part, const base::host_id& successor);

/// @brief Converts a part of a hand-over from its encoding.
/// @return The part, or nothing when an entry is inconsistent.
std::optional<delivery::hand_over_part> from_wire(const hand_over_message& wire);

}  // namespace catkintack::net
