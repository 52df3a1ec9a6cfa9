/// @file
/// HTTP client of the platform's store.
#pragma once

#include <memory>
#include <string>

#include "catkintack/base/address.hpp"
#include "catkintack/config/config_error.hpp"
#include "catkintack/config/store.hpp"

namespace catkintack::net {

/// @brief Options of the client.
struct http_store_options {
  base::address address;
  base::duration timeout = std::chrono::seconds(2);  ///< Per call; a watch adds its own wait.
};

/// @brief Creates a client of the store.
/// @return The client, which is thread-safe: each call opens a connection of its own.
std::unique_ptr<config::store> make_http_store(const http_store_options& options);

}  // namespace catkintack::net
