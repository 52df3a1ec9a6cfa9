#include "catkintack/daemon/list_io.hpp"

#include <cereal/types/array.hpp>
#include <utility>

#include "catkintack/config/list_document.hpp"
#include "catkintack/logging/log.hpp"
#include "catkintack/net/list_message.hpp"
#include "catkintack/net/peer_codec.hpp"

namespace catkintack::daemon {
namespace {

namespace leaf = boost::leaf;

// A watch of each of the two lists and a fetch may wait at the same time.
constexpr std::size_t pool_threads = 3;
constexpr base::duration fetch_timeout = std::chrono::seconds(2);

leaf::result<std::vector<config::list_body>> read_parcels(const net::peer_response& response) {
  BOOST_LEAF_AUTO(parcels, net::decode<std::vector<net::list_message>>(response.body));
  std::vector<config::list_body> bodies;
  for (const net::list_message& parcel : parcels) {
    BOOST_LEAF_AUTO(body, config::parse_body(parcel.kind, parcel.text));
    bodies.push_back(std::move(body));
  }
  return bodies;
}

}  // namespace

list_io::list_io(list_io_options options,
                 std::unique_ptr<config::store> store,
                 base::metric_registry& metrics,
                 list_io_hooks hooks)
    : options_(std::move(options)),
      store_(std::move(store)),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      peer_client_(options_.peer_key),
      pool_(pool_threads) {}

void list_io::read(config::list_kind kind) {
  pool_.submit([this, kind] {
    metrics_.add("store_calls_total{call=\"read\"}");
    run_store_call(kind, [this, kind]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(stored, store_->read(config::key_of(kind)));
      BOOST_LEAF_AUTO(body, config::parse_body(kind, stored.value));
      hooks_.on_value(stored.revision, std::move(body));
      return {};
    });
  });
}

void list_io::watch(config::list_kind kind, std::uint64_t after_revision, base::duration wait) {
  pool_.submit([this, kind, after_revision, wait] {
    metrics_.add("store_calls_total{call=\"watch\"}");
    run_store_call(kind, [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(stored, store_->watch(config::key_of(kind), after_revision, wait));
      if (!stored) {
        hooks_.on_unchanged(kind);
        return {};
      }
      BOOST_LEAF_AUTO(body, config::parse_body(kind, stored->value));
      hooks_.on_value(stored->revision, std::move(body));
      return {};
    });
  });
}

void list_io::run_store_call(config::list_kind kind,
                             const std::function<leaf::result<void>()>& call) {
  const auto failed = [this, kind](const std::string& message) {
    metrics_.add("store_calls_failed_total");
    logging::log(logging::log_level::warning, "store", message);
    hooks_.on_store_failed(kind);
  };
  leaf::try_handle_all([&call] { return call(); },
                       [&](const config::config_error& error) { failed(error.message); },
                       [&] { failed("store call failed"); });
}

void list_io::fetch(const base::host_id& from,
                    const base::address& where,
                    const config::list_stamps& in_force) {
  net::peer_request request;
  request.sender = options_.host;
  request.run = options_.run;
  request.kind = net::peer_request_kind::fetch_lists;
  request.body = net::encode(in_force);
  pool_.submit([this, from, where, request = std::move(request)] {
    metrics_.add("list_fetches_total");
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(response, peer_client_.call(where, request, fetch_timeout));
          metrics_.add("peer_bytes_total{way=\"in\"}", response.body.size());
          BOOST_LEAF_AUTO(bodies, read_parcels(response));
          hooks_.on_fetched(std::move(bodies));
          return {};
        },
        [&] {
          logging::log(logging::log_level::warning, "config",
                       "cannot fetch lists from host " + from.value() + ".");
          hooks_.on_fetch_failed(from);
        });
  });
}

net::peer_response answer_fetch(const std::array<config::shared_body, config::list_count>& bodies,
                                const net::peer_request& request) {
  const auto known = net::decode<config::list_stamps>(request.body);
  if (!known) {
    return {false, 0, "the request holds no list stamps"};
  }
  std::vector<net::list_message> parcels;
  for (const config::shared_body& body : bodies) {
    if (body && body->stamp.version > known.value().at(index_of(body->kind)).version) {
      parcels.push_back({body->kind, body->text});
    }
  }
  return {true, 0, net::encode(parcels)};
}

}  // namespace catkintack::daemon
