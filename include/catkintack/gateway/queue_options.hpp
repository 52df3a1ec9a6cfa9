/// @file
/// Limits of the per-service queue of calls waiting for an upstream.
#pragma once

#include <cstddef>

namespace catkintack::gateway {

/// @brief Options of the queue used while every upstream slot appears to be occupied.
struct queue_options {
  std::size_t capacity = 200;  ///< Waiting calls per service; more are rejected at once.
};

}  // namespace catkintack::gateway
