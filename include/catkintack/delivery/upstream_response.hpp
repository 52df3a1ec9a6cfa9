/// @file
/// A whole answer of an upstream.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace catkintack::delivery {

/// @brief Status, end-to-end headers and complete body of an answer.
struct upstream_response {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  bool operator==(const upstream_response&) const = default;

  /// @brief Serializes the answer with cereal.
  /// @param archive The cereal archive.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, headers, body);
  }
};

/// Shared because a repeat of a request may be given the same answer while it is sent.
using shared_upstream_response = std::shared_ptr<const upstream_response>;

}  // namespace catkintack::delivery
