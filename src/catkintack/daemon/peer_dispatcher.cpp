#include "catkintack/daemon/peer_dispatcher.hpp"

#include <string>
#include <utility>

namespace catkintack::daemon {

void peer_dispatcher::set_handler(net::peer_request_kind kind, net::peer_handler handler) {
  handlers_[kind] = std::move(handler);
}

net::peer_response peer_dispatcher::handle(const net::peer_request& request) const {
  const auto found = handlers_.find(request.kind);
  if (found == handlers_.end()) {
    const auto number = static_cast<unsigned>(request.kind);
    return {false, 0, "no handler for requests of kind " + std::to_string(number)};
  }
  return found->second(request);
}

}  // namespace catkintack::daemon
