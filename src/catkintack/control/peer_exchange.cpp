#include "catkintack/control/peer_exchange.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <utility>

#include "catkintack/serving/upstream_connection.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using serving::no_throw;

constexpr std::size_t length_bytes = 4;
// Far above a table of thousands of routes and upstreams.
constexpr std::size_t most_bytes = 8U << 20U;
constexpr base::duration serve_limit = std::chrono::seconds(3);

template <class Message>
std::string encode(const Message& message) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  return std::move(out).str();
}

template <class Message>
std::optional<Message> decode(const std::string& bytes) {
  try {
    std::istringstream in(bytes);
    cereal::PortableBinaryInputArchive archive(in);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;  // A host of another version; the caller asks someone else.
  }
}

asio::awaitable<bool> send(beast::tcp_stream& stream, const std::string& body) {
  std::string text(length_bytes, '\0');
  for (std::size_t i = 0; i < length_bytes; ++i) {
    text[i] = static_cast<char>(body.size() >> (8U * (length_bytes - 1 - i)));
  }
  text += body;
  auto [error, count] = co_await asio::async_write(stream, asio::buffer(text), no_throw);
  co_return !error;
}

asio::awaitable<std::optional<std::string>> receive(beast::tcp_stream& stream) {
  std::array<unsigned char, length_bytes> head{};
  auto [error, count] = co_await asio::async_read(stream, asio::buffer(head), no_throw);
  if (error) {
    co_return std::nullopt;
  }
  std::size_t length = 0;
  for (const unsigned char byte : head) {
    length = (length << 8U) | byte;
  }
  if (length > most_bytes) {
    co_return std::nullopt;
  }
  std::string body(length, '\0');
  auto [cut, read] = co_await asio::async_read(stream, asio::buffer(body), no_throw);
  if (cut) {
    co_return std::nullopt;
  }
  co_return body;
}

}  // namespace

peer_server::peer_server(asio::io_context& io,
                         source knowledge,
                         serving::listener::error_hook on_error)
    : io_(io), knowledge_(std::move(knowledge)), on_error_(std::move(on_error)), listener_(io) {}

error_code peer_server::listen(const base::address& where) {
  return listener_.listen(
      where,
      [this](asio::ip::tcp::socket socket) {
        asio::co_spawn(io_, serve(beast::tcp_stream(std::move(socket))), asio::detached);
      },
      on_error_);
}

asio::awaitable<void> peer_server::serve(beast::tcp_stream stream) {
  stream.expires_after(serve_limit);
  const auto asked = co_await receive(stream);
  const auto query = asked ? decode<knowledge_query>(*asked) : std::nullopt;
  if (!query) {
    co_return;
  }
  knowledge_snapshot known = knowledge_();
  if (known.revision <= query->known_revision) {
    known = knowledge_snapshot{};
  }
  const std::string answer = encode(known);
  co_await send(stream, answer);
}

asio::awaitable<std::optional<knowledge_snapshot>> ask_peer(asio::any_io_executor executor,
                                                            base::address where,
                                                            knowledge_query query,
                                                            base::duration limit) {
  auto [connection, error] =
      co_await serving::connect_upstream(std::move(executor), where, {}, limit);
  if (!connection) {
    co_return std::nullopt;
  }
  connection->stream.expires_after(limit);
  const std::string asked = encode(query);
  const bool sent = co_await send(connection->stream, asked);
  if (!sent) {
    co_return std::nullopt;
  }
  const auto body = co_await receive(connection->stream);
  auto known = body ? decode<knowledge_snapshot>(*body) : std::nullopt;
  if (known && known->revision <= query.known_revision) {
    known.reset();
  }
  co_return known;
}

}  // namespace catkintack::control
