#include "catkintack/net/host_list.hpp"

#include <limits>
#include <nlohmann/json.hpp>

#include "catkintack/config/parse_json.hpp"
#include "catkintack/net/http_fetch.hpp"

namespace catkintack::net {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

constexpr int status_ok = 200;

leaf::error_id malformed(const std::string& message) {
  return leaf::new_error(net_error{net_error_kind::malformed, message});
}

leaf::result<base::address> read_address(const json& entry, const char* key) {
  const std::string text = entry.at(key).get<std::string>();
  const auto address = base::parse_address(text);
  if (!address) {
    return malformed("host list: \"" + text + "\" is not an address of the form IP:PORT");
  }
  return *address;
}

leaf::result<bool> read_leaving(const json& entry) {
  const std::string state = entry.at("state").get<std::string>();
  if (state != "live" && state != "leaving") {
    return malformed("host list: state is \"" + state + "\"; expected live or leaving");
  }
  return state == "leaving";
}

leaf::result<std::uint32_t> read_slots(const json& entry) {
  const json& slots = entry.at("slots");
  constexpr std::uint64_t max_slots = std::numeric_limits<std::uint32_t>::max();
  const bool is_unsigned = slots.is_number_unsigned();
  if (!is_unsigned || slots.get<std::uint64_t>() == 0 || slots.get<std::uint64_t>() > max_slots) {
    const std::string found =
        slots.is_number() ? slots.dump() : std::string("a value of type ") + slots.type_name();
    return malformed("host list: slots is " + found + "; expected an integer from 1 to 4294967295");
  }
  return slots.get<std::uint32_t>();
}

leaf::result<membership::gateway_record> read_gateway(const json& entry) {
  membership::gateway_record record;
  record.host = base::host_id(entry.at("host").get<std::string>());
  BOOST_LEAF_ASSIGN(record.callers, read_address(entry, "callers"));
  BOOST_LEAF_ASSIGN(record.peers, read_address(entry, "peers"));
  BOOST_LEAF_ASSIGN(record.admin, read_address(entry, "admin"));
  record.region = base::region_id(entry.at("region").get<std::string>());
  record.failure_domain = base::failure_domain_id(entry.at("failure_domain").get<std::string>());
  BOOST_LEAF_ASSIGN(record.leaving, read_leaving(entry));
  return record;
}

leaf::result<routing::upstream_record> read_upstream(const json& entry) {
  routing::upstream_record record;
  record.id = base::upstream_id(entry.at("upstream").get<std::string>());
  record.service = base::service_id(entry.at("service").get<std::string>());
  BOOST_LEAF_ASSIGN(record.where, read_address(entry, "address"));
  record.region = base::region_id(entry.at("region").get<std::string>());
  record.failure_domain = base::failure_domain_id(entry.at("failure_domain").get<std::string>());
  BOOST_LEAF_ASSIGN(record.slots, read_slots(entry));
  BOOST_LEAF_ASSIGN(record.leaving, read_leaving(entry));
  return record;
}

leaf::error_id malformed(const json::exception& error) {
  return malformed(std::string("host list: malformed document: ") + error.what());
}

/// @brief Adds an upstream to the list, or the reason why its entry is skipped: a malformed entry
/// of one writer must not hide the others.
void add_upstream(const json& entry, host_list& list) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        try {
          BOOST_LEAF_AUTO(record, read_upstream(entry));
          list.upstreams.push_back(std::move(record));
        } catch (const json::exception& error) {
          return malformed(error);
        }
        return {};
      },
      [&](const net_error& error) { list.skipped.push_back(error.message); },
      [&] { list.skipped.emplace_back("host list: malformed upstream"); });
}

}  // namespace

leaf::result<host_list> parse_host_list(const std::string& text) {
  host_list list;
  try {
    const json document = config::parse_json(text);
    for (const json& entry : document.at("gateways")) {
      BOOST_LEAF_AUTO(record, read_gateway(entry));
      list.gateways.push_back(std::move(record));
    }
    for (const json& entry : document.at("upstreams")) {
      add_upstream(entry, list);
    }
  } catch (const json::exception& error) {
    return malformed(error);
  }
  return list;
}

leaf::result<std::string> fetch_host_list_text(const base::address& address,
                                               base::duration timeout) {
  const fetch_result answer = fetch(
      {.where = address, .target = "/v1/hosts", .connect_timeout = timeout, .timeout = timeout});
  if (answer.status != http_exchange_status::complete || answer.response.status != status_ok) {
    return leaf::new_error(net_error{
        net_error_kind::unreachable,
        "host list server " + base::to_string(address) + " did not answer with status 200"});
  }
  return answer.response.body;
}

leaf::result<host_list> fetch_host_list(const base::address& address, base::duration timeout) {
  BOOST_LEAF_AUTO(text, fetch_host_list_text(address, timeout));
  return parse_host_list(text);
}

}  // namespace catkintack::net
