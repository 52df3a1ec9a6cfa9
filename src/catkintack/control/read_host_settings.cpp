#include "catkintack/control/read_host_settings.hpp"

#include <ini.h>

#include <charconv>
#include <functional>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

namespace catkintack::control {
namespace {

namespace leaf = boost::leaf;

/// @brief Stores a value; for an invalid text it returns a description of the allowed values.
using value_parser = std::function<std::optional<std::string>(const std::string&, host_settings&)>;

struct key_spec {
  std::string key;  ///< "section.key".
  bool required = false;
  value_parser read;
};

template <class Id>
value_parser id_value(Id host_settings::*field) {
  return [field](const std::string& text, host_settings& s) -> std::optional<std::string> {
    if (text.empty()) {
      return "a name";
    }
    s.*field = Id(text);
    return std::nullopt;
  };
}

value_parser address_value(base::address host_settings::*field) {
  return [field](const std::string& text, host_settings& s) -> std::optional<std::string> {
    const auto parsed = base::parse_address(text);
    if (!parsed) {
      return "IPv4:PORT";
    }
    s.*field = *parsed;
    return std::nullopt;
  };
}

std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

value_parser number_value(double host_settings::*field) {
  return [field](const std::string& text, host_settings& s) -> std::optional<std::string> {
    const auto parsed = parse_number(text);
    if (!parsed) {
      return "a number of 0 or more";
    }
    s.*field = *parsed;
    return std::nullopt;
  };
}

value_parser share_value(double host_settings::*field) {
  return [field](const std::string& text, host_settings& s) -> std::optional<std::string> {
    const auto parsed = parse_number(text);
    if (!parsed || *parsed > 1) {
      return "a number from 0 to 1";
    }
    s.*field = *parsed;
    return std::nullopt;
  };
}

template <class Integer>
value_parser integer_value(Integer host_settings::*field, Integer min, Integer max) {
  return [=](const std::string& text, host_settings& s) -> std::optional<std::string> {
    Integer value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool parsed = error == std::errc{} && end == text.data() + text.size();
    if (!parsed || value < min || value > max) {
      return "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
    }
    s.*field = value;
    return std::nullopt;
  };
}

value_parser flag_value(bool host_settings::*field) {
  return [field](const std::string& text, host_settings& s) -> std::optional<std::string> {
    if (text != "true" && text != "false") {
      return "true or false";
    }
    s.*field = text == "true";
    return std::nullopt;
  };
}

value_parser duration_value(base::duration host_settings::*field) {
  return [field](const std::string& text, host_settings& s) -> std::optional<std::string> {
    constexpr double microseconds_per_ms = 1000;
    constexpr double microseconds_per_s = 1e6;
    const bool in_milliseconds = text.ends_with("ms");
    const bool in_seconds = !in_milliseconds && text.ends_with("s");
    const std::string_view digits =
        std::string_view(text).substr(0, text.size() - (in_milliseconds ? 2 : 1));
    const auto parsed = in_milliseconds || in_seconds ? parse_number(digits) : std::nullopt;
    if (!parsed) {
      return "a span such as 250ms or 2.5s";
    }
    const double unit = in_milliseconds ? microseconds_per_ms : microseconds_per_s;
    s.*field = base::duration(static_cast<base::duration::rep>(*parsed * unit));
    return std::nullopt;
  };
}

value_parser address_list_value() {
  return [](const std::string& text, host_settings& s) -> std::optional<std::string> {
    std::istringstream words(text);
    for (std::string word; std::getline(words, word, ',');) {
      const auto parsed = base::parse_address(word);
      if (!parsed) {
        return "IPv4:PORT,IPv4:PORT,...";
      }
      s.seeds.push_back(*parsed);
    }
    return std::nullopt;
  };
}

// More parallel probes for one call would be a load burst of their own.
constexpr std::size_t max_probes = 64;
// Far above the largest body that a route accepts.
constexpr std::uint64_t max_remote_bytes = 1U << 30U;

std::vector<key_spec> key_specs() {
  return {
      {"host.id", true, id_value(&host_settings::host)},
      {"host.region", true, id_value(&host_settings::region)},
      {"host.failure_domain", true, id_value(&host_settings::failure_domain)},
      {"host.first_start", false, flag_value(&host_settings::first_start)},
      {"listen.callers", true, address_value(&host_settings::callers)},
      {"listen.readiness", true, address_value(&host_settings::readiness)},
      {"listen.peers", true, address_value(&host_settings::peers)},
      {"listen.permits", false, address_value(&host_settings::permits)},
      {"listen.relays", false, address_value(&host_settings::relays)},
      {"registry.address", true, address_value(&host_settings::registry)},
      {"registry.edits_due", false, duration_value(&host_settings::edits_due)},
      {"peers.seeds", false, address_list_value()},
      {"repeats.ratio", false, number_value(&host_settings::repeat_ratio)},
      {"repeats.slack", false, number_value(&host_settings::repeat_slack)},
      {"repeats.window", false, duration_value(&host_settings::repeat_window)},
      {"probes.per_call", false,
       integer_value(&host_settings::probes_per_call, std::size_t{1}, max_probes)},
      {"probes.neighbours", false,
       integer_value(&host_settings::neighbours, std::size_t{1}, max_probes)},
      {"probes.remote_per_call", false,
       integer_value(&host_settings::remote_probes_per_call, std::size_t{0}, max_probes)},
      {"probes.pause", false, duration_value(&host_settings::probe_pause)},
      {"calls.hold_share", false, share_value(&host_settings::hold_share)},
      {"calls.returned_hold_share", false, share_value(&host_settings::returned_hold_share)},
      {"calls.queue_new", false,
       integer_value(&host_settings::queue_new_calls, std::size_t{0}, std::size_t{1})},
      {"calls.remote_byte_limit", false,
       integer_value(&host_settings::remote_byte_limit, std::uint64_t{0}, max_remote_bytes)},
      {"calls.remote_bytes_per_second", false,
       number_value(&host_settings::remote_bytes_per_second)},
      {"calls.remote_bytes_burst", false, number_value(&host_settings::remote_bytes_burst)},
      {"calls.shortest_return", false, duration_value(&host_settings::min_retry_after)},
      {"calls.longest_return", false, duration_value(&host_settings::max_retry_after)},
      {"upstreams.leaving_limit", false, duration_value(&host_settings::drain_timeout)},
      {"upstreams.evacuation_limit", false, duration_value(&host_settings::evacuation_limit)},
      {"customers.window", false, duration_value(&host_settings::quota_window)},
      {"customers.overshoot", false, number_value(&host_settings::quota_overshoot)},
      {"customers.slack", false, number_value(&host_settings::quota_slack)},
      {"customers.share_from", false, number_value(&host_settings::share_min_saturation)},
      {"stop.limit", false, duration_value(&host_settings::stop_limit)},
  };
}

int collect_value(void* user, const char* section, const char* name, const char* value) {
  auto& found = *static_cast<std::map<std::string, std::string>*>(user);
  found[std::string(section) + "." + name] = value;
  return 1;
}

}  // namespace

leaf::result<host_settings> read_host_settings(const std::string& path) {
  std::map<std::string, std::string> found;
  const int line = ini_parse(path.c_str(), &collect_value, &found);
  if (line < 0) {
    return leaf::new_error(host_settings_error{path + ": cannot read the settings file"});
  }
  if (line > 0) {
    return leaf::new_error(host_settings_error{path + ":" + std::to_string(line) +
                                               ": neither a section nor key = value"});
  }
  host_settings result;
  std::string problems;
  for (const key_spec& spec : key_specs()) {
    const auto value = found.find(spec.key);
    if (value == found.end() || value->second.empty()) {
      problems += spec.required ? path + ": " + spec.key + " is missing\n" : "";
      continue;
    }
    if (const auto allowed = spec.read(value->second, result)) {
      problems +=
          path + ": " + spec.key + " = " + value->second + " is wrong; allowed: " + *allowed + "\n";
    }
  }
  constexpr std::string_view regions_section = "regions.";
  for (const auto& [key, value] : found) {
    if (key.starts_with(regions_section)) {
      result.regions[base::failure_domain_id(key.substr(regions_section.size()))] =
          base::region_id(value);
    }
  }
  if (result.permits.port == 0) {
    result.permits = result.peers;
  }
  if (!problems.empty()) {
    problems.pop_back();
    return leaf::new_error(host_settings_error{problems});
  }
  return result;
}

}  // namespace catkintack::control
