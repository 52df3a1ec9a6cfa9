/// @file
/// Client of the platform's store over HTTP.
#pragma once

#include <memory>
#include <string>

#include "catkintack/base/address.hpp"
#include "catkintack/config/config_error.hpp"
#include "catkintack/config/store.hpp"

namespace catkintack::net {

/// @brief How to reach the store.
struct http_store_options {
  base::address address;
  base::duration timeout = std::chrono::seconds(2);  ///< Per call, besides a watch's own wait.
};

/// @brief Makes a client of the store.
/// @param options How to reach it.
/// @return The client; each call makes its own connection and may be used by several threads.
std::unique_ptr<config::store> make_http_store(const http_store_options& options);

}  // namespace catkintack::net
