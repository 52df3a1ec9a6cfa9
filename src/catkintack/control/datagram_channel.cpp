#include "catkintack/control/datagram_channel.hpp"

#include <utility>

#include "catkintack/serving/task.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using serving::no_throw;

constexpr base::duration pause_after_error = std::chrono::milliseconds(100);

udp::endpoint to_endpoint(const base::address& where, boost::system::error_code& error) {
  return {asio::ip::make_address(where.ip, error), where.port};
}

}  // namespace

datagram_channel::datagram_channel(asio::io_context& io,
                                   serving::traffic_state& state,
                                   std::string name)
    : state_(state), name_(std::move(name)), socket_(io), pause_(io) {}

boost::system::error_code datagram_channel::open(const base::address& self, handler on_datagram) {
  on_datagram_ = std::move(on_datagram);
  boost::system::error_code error;
  const udp::endpoint where = to_endpoint(self, error);
  if (!error) {
    socket_.open(udp::v4(), error);
  }
  if (!error) {
    socket_.bind(where, error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (!error) {
    serving::spawn_service(socket_.get_executor(), state_.log, name_, [this] { return receive(); });
  }
  return error;
}

void datagram_channel::send(const std::string& bytes, const base::address& target) {
  boost::system::error_code error;
  const udp::endpoint where = to_endpoint(target, error);
  if (!error) {
    socket_.send_to(asio::buffer(bytes), where, 0, error);
  }
  if (error) {
    state_.metrics.add(name_ + "_sends_failed_total");
    state_.log.write(name_ + "_send_failed",
                     {{"host", base::to_string(target)}, {"why", error.message()}});
  }
}

asio::awaitable<void> datagram_channel::receive() {
  for (;;) {
    udp::endpoint sender;
    auto [error, count] =
        co_await socket_.async_receive_from(asio::buffer(buffer_), sender, no_throw);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      state_.log.write(name_ + "_receive_failed", {{"why", error.message()}});
      pause_.expires_after(pause_after_error);
      co_await pause_.async_wait(no_throw);
      continue;
    }
    on_datagram_(std::string(buffer_.data(), count), {sender.address().to_string(), sender.port()});
  }
}

}  // namespace catkintack::control
