#include "catkintack/config/list_codec.hpp"

#include <limits>
#include <nlohmann/json.hpp>

#include "catkintack/config/parse_json.hpp"

namespace catkintack::config {
namespace {

using nlohmann::json;
namespace leaf = boost::leaf;

constexpr double max_rate_per_second = 1'000'000;
constexpr std::uint32_t max_count = 1'000'000;
constexpr std::size_t key_hash_digits = 64;

leaf::error_id malformed(const std::string& message) {
  return leaf::new_error(config_error{config_error_kind::malformed_list, message});
}

leaf::error_id invalid(const std::string& message) {
  return leaf::new_error(config_error{config_error_kind::invalid_entry, message});
}

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

std::string name_of(const allowance& entry) {
  return "allowance of plan " + quoted(entry.plan.value()) + " for " +
         quoted(entry.service.value());
}

leaf::result<void> check(const customer& entry) {
  if (entry.id.empty()) {
    return invalid("a customer has no name");
  }
  if (entry.plan.empty()) {
    return invalid("customer " + quoted(entry.id.value()) + " has no plan");
  }
  const bool hexadecimal =
      entry.key_hash.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (entry.key_hash.size() != key_hash_digits || !hexadecimal) {
    return invalid("customer " + quoted(entry.id.value()) +
                   " has a key_hash that is not 64 lower-case hexadecimal digits");
  }
  return {};
}

leaf::result<void> check(const allowance& entry) {
  const std::string name = name_of(entry);
  if (entry.plan.empty() || entry.service.empty()) {
    return invalid(name + " has no plan or no service");
  }
  if (!(entry.rate_per_second >= 0 && entry.rate_per_second <= max_rate_per_second)) {
    return invalid(name + " has a rate_per_second outside 0 to 1000000");
  }
  return {};
}

customer read_customer(const json& value) {
  return {base::customer_id(value.at("customer").get<std::string>()),
          base::plan_id(value.at("plan").get<std::string>()),
          value.at("key_hash").get<std::string>()};
}

leaf::result<std::uint32_t> read_count(const json& entry,
                                       const std::string& field,
                                       const std::string& owner) {
  const auto count = whole_number(entry.at(field), 1, max_count);
  if (!count) {
    return invalid(owner + " has a " + field + " that is not a whole number from 1 to 1000000");
  }
  return static_cast<std::uint32_t>(*count);
}

leaf::result<allowance> read_allowance(const json& value) {
  allowance entry;
  entry.plan = base::plan_id(value.at("plan").get<std::string>());
  entry.service = base::service_id(value.at("service").get<std::string>());
  const std::string name = name_of(entry);
  if (!value.at("rate_per_second").is_number()) {
    return invalid(name + " has a rate_per_second that is not a number");
  }
  entry.rate_per_second = value.at("rate_per_second").get<double>();
  BOOST_LEAF_ASSIGN(entry.burst, read_count(value, "burst", name));
  BOOST_LEAF_ASSIGN(entry.max_concurrent, read_count(value, "max_concurrent", name));
  BOOST_LEAF_CHECK(check(entry));
  return entry;
}

leaf::result<base::list_version> read_version(const json& document) {
  const auto version =
      whole_number(document.at("version"), 0, std::numeric_limits<std::uint64_t>::max());
  if (!version) {
    return malformed("the version of a list is not a whole number");
  }
  return base::list_version(*version);
}

}  // namespace

std::string to_json(const plans_list& list) {
  json entries = json::array();
  for (const auto& [id, entry] : list.customers) {
    entries.push_back(
        {{"customer", id.value()}, {"plan", entry.plan.value()}, {"key_hash", entry.key_hash}});
  }
  return json{{"version", list.version.value()}, {"customers", entries}}.dump();
}

std::string to_json(const allowances_list& list) {
  json entries = json::array();
  for (const auto& [key, entry] : list.allowances) {
    entries.push_back({{"plan", entry.plan.value()},
                       {"service", entry.service.value()},
                       {"rate_per_second", entry.rate_per_second},
                       {"burst", entry.burst},
                       {"max_concurrent", entry.max_concurrent}});
  }
  return json{{"version", list.version.value()}, {"allowances", entries}}.dump();
}

leaf::result<plans_list> parse_plans(const std::string& text) {
  plans_list list;
  try {
    const json document = parse_json(text);
    BOOST_LEAF_ASSIGN(list.version, read_version(document));
    for (const json& value : document.at("customers")) {
      const customer entry = read_customer(value);
      BOOST_LEAF_CHECK(check(entry));
      if (!list.customers.emplace(entry.id, entry).second) {
        return invalid("customer " + quoted(entry.id.value()) + " appears twice");
      }
    }
  } catch (const json::exception& error) {
    return malformed(std::string("plans list is malformed: ") + error.what());
  }
  return list;
}

leaf::result<allowances_list> parse_allowances(const std::string& text) {
  allowances_list list;
  try {
    const json document = parse_json(text);
    BOOST_LEAF_ASSIGN(list.version, read_version(document));
    for (const json& value : document.at("allowances")) {
      BOOST_LEAF_AUTO(entry, read_allowance(value));
      if (!list.allowances.emplace(std::pair{entry.plan, entry.service}, entry).second) {
        return invalid(name_of(entry) + " appears twice");
      }
    }
  } catch (const json::exception& error) {
    return malformed(std::string("allowances list is malformed: ") + error.what());
  }
  return list;
}

shared_lists make_lists(const list_body& plans, const list_body& allowances) {
  auto read_plans = leaf::try_handle_all(
      [&]() -> leaf::result<plans_list> {
        return plans.text.empty() ? plans_list{} : parse_plans(plans.text);
      },
      [] { return plans_list{}; });
  auto read_allowances = leaf::try_handle_all(
      [&]() -> leaf::result<allowances_list> {
        return allowances.text.empty() ? allowances_list{} : parse_allowances(allowances.text);
      },
      [] { return allowances_list{}; });
  return std::make_shared<const lists>(std::move(read_plans), std::move(read_allowances));
}

}  // namespace catkintack::config
