/// @file
/// A complete HTTP response from an upstream.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace catkintack::delivery {

/// @brief Status, end-to-end headers and complete body of a response.
struct upstream_response {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  bool operator==(const upstream_response&) const = default;

  /// @brief Serializes the response with cereal.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, headers, body);
  }
};

/// Shared because a repeated request may receive the same response while it is still being sent.
using shared_upstream_response = std::shared_ptr<const upstream_response>;

}  // namespace catkintack::delivery
