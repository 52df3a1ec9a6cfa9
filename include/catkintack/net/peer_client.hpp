/// @file
/// Sends requests to other hosts over pooled TCP connections.
#pragma once

#include <boost/leaf.hpp>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "catkintack/base/address.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/net/net_error.hpp"
#include "catkintack/net/peer_message.hpp"
#include "catkintack/net/peer_stream.hpp"

namespace catkintack::net {

/// @brief Client for requests to any peer. Thread-safe.
class peer_client {
 public:
  explicit peer_client(std::string key);

  /// @brief Sends a request and waits for the response.
  /// @param timeout Limit for the connect and for each read and write.
  /// @return The response, or a net_error; kind unreachable means that nothing was sent.
  boost::leaf::result<peer_response> call(const base::address& to,
                                          const peer_request& request,
                                          base::duration timeout);

 private:
  boost::leaf::result<peer_stream> acquire(const base::address& to, base::duration timeout);
  void release(const base::address& to, peer_stream stream);

  std::string key_;
  std::mutex mutex_;
  std::map<base::address, std::vector<peer_stream>> idle_;
};

}  // namespace catkintack::net
