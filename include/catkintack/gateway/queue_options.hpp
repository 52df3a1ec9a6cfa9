/// @file
/// Bounds of the queue before the upstreams of a service.
#pragma once

#include <cstddef>

namespace catkintack::gateway {

/// @brief How calls wait while every slot looks taken.
struct queue_options {
  std::size_t capacity = 200;  ///< Calls waiting for one service; more are refused at once.
};

}  // namespace catkintack::gateway
