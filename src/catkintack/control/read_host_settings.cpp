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

/// Stores a value; returns what is allowed when the text is not.
using reader = std::function<std::optional<std::string>(const std::string&, host_settings&)>;

struct key_rule {
  std::string key;  ///< "section.key".
  bool required = false;
  reader read;
};

template <class Id>
reader id_value(Id host_settings::*field) {
  return [field](const std::string& text, host_settings& s) -> std::optional<std::string> {
    if (text.empty()) {
      return "a name";
    }
    s.*field = Id(text);
    return std::nullopt;
  };
}

reader address_value(base::address host_settings::*field) {
  return [field](const std::string& text, host_settings& s) -> std::optional<std::string> {
    const auto parsed = base::parse_address(text);
    if (!parsed) {
      return "IPv4:PORT";
    }
    s.*field = *parsed;
    return std::nullopt;
  };
}

std::optional<double> number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

reader number_value(double host_settings::*field) {
  return [field](const std::string& text, host_settings& s) -> std::optional<std::string> {
    const auto parsed = number(text);
    if (!parsed) {
      return "a number of 0 or more";
    }
    s.*field = *parsed;
    return std::nullopt;
  };
}

reader share_value(double host_settings::*field) {
  return [field](const std::string& text, host_settings& s) -> std::optional<std::string> {
    const auto parsed = number(text);
    if (!parsed || *parsed > 1) {
      return "a number from 0 to 1";
    }
    s.*field = *parsed;
    return std::nullopt;
  };
}

template <class Whole>
reader whole_value(Whole host_settings::*field, Whole least, Whole most) {
  return [=](const std::string& text, host_settings& s) -> std::optional<std::string> {
    Whole value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc{} && end == text.data() + text.size();
    if (!whole || value < least || value > most) {
      return "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
    }
    s.*field = value;
    return std::nullopt;
  };
}

reader span_value(base::duration host_settings::*field) {
  return [field](const std::string& text, host_settings& s) -> std::optional<std::string> {
    constexpr double microseconds_per_ms = 1000;
    constexpr double microseconds_per_s = 1e6;
    const bool in_ms = text.ends_with("ms");
    const bool in_s = !in_ms && text.ends_with("s");
    const std::string_view digits = std::string_view(text).substr(0, text.size() - (in_ms ? 2 : 1));
    const auto parsed = in_ms || in_s ? number(digits) : std::nullopt;
    if (!parsed) {
      return "a span such as 250ms or 2.5s";
    }
    const double unit = in_ms ? microseconds_per_ms : microseconds_per_s;
    s.*field = base::duration(static_cast<base::duration::rep>(*parsed * unit));
    return std::nullopt;
  };
}

reader seeds_value() {
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

// More probes at once than this would be a burst of their own.
constexpr std::size_t most_probes = 64;
// The largest body that a route takes is far below.
constexpr std::uint64_t most_remote_bytes = 1U << 30U;

std::vector<key_rule> rules() {
  return {
      {"host.id", true, id_value(&host_settings::host)},
      {"host.region", true, id_value(&host_settings::region)},
      {"host.failure_domain", true, id_value(&host_settings::failure_domain)},
      {"listen.callers", true, address_value(&host_settings::callers)},
      {"listen.readiness", true, address_value(&host_settings::readiness)},
      {"listen.peers", true, address_value(&host_settings::peers)},
      {"registry.address", true, address_value(&host_settings::registry)},
      {"peers.seeds", false, seeds_value()},
      {"repeats.ratio", false, number_value(&host_settings::repeat_ratio)},
      {"repeats.slack", false, number_value(&host_settings::repeat_slack)},
      {"repeats.window", false, span_value(&host_settings::repeat_window)},
      {"probes.per_call", false,
       whole_value(&host_settings::probes_per_call, std::size_t{1}, most_probes)},
      {"probes.neighbours", false,
       whole_value(&host_settings::neighbours, std::size_t{1}, most_probes)},
      {"probes.remote_per_call", false,
       whole_value(&host_settings::remote_probes_per_call, std::size_t{0}, most_probes)},
      {"probes.pause", false, span_value(&host_settings::probe_pause)},
      {"calls.hold_share", false, share_value(&host_settings::hold_share)},
      {"calls.returned_hold_share", false, share_value(&host_settings::returned_hold_share)},
      {"calls.queue_new", false,
       whole_value(&host_settings::queue_new_calls, std::size_t{0}, std::size_t{1})},
      {"calls.remote_byte_limit", false,
       whole_value(&host_settings::remote_byte_limit, std::uint64_t{0}, most_remote_bytes)},
      {"calls.remote_bytes_per_second", false,
       number_value(&host_settings::remote_bytes_per_second)},
      {"calls.remote_bytes_burst", false, number_value(&host_settings::remote_bytes_burst)},
      {"calls.shortest_return", false, span_value(&host_settings::shortest_return)},
      {"calls.longest_return", false, span_value(&host_settings::longest_return)},
      {"upstreams.leaving_limit", false, span_value(&host_settings::leaving_limit)},
      {"stop.limit", false, span_value(&host_settings::stop_limit)},
  };
}

int collect(void* user, const char* section, const char* name, const char* value) {
  auto& found = *static_cast<std::map<std::string, std::string>*>(user);
  found[std::string(section) + "." + name] = value;
  return 1;
}

}  // namespace

leaf::result<host_settings> read_host_settings(const std::string& path) {
  std::map<std::string, std::string> found;
  const int line = ini_parse(path.c_str(), &collect, &found);
  if (line < 0) {
    return leaf::new_error(host_settings_error{path + ": cannot be read"});
  }
  if (line > 0) {
    return leaf::new_error(host_settings_error{path + ":" + std::to_string(line) +
                                               ": neither a section nor key = value"});
  }
  host_settings result;
  std::string problems;
  for (const key_rule& rule : rules()) {
    const auto value = found.find(rule.key);
    if (value == found.end() || value->second.empty()) {
      problems += rule.required ? path + ": " + rule.key + " is missing\n" : "";
      continue;
    }
    if (const auto allowed = rule.read(value->second, result)) {
      problems +=
          path + ": " + rule.key + " = " + value->second + " is wrong; allowed: " + *allowed + "\n";
    }
  }
  constexpr std::string_view regions_section = "regions.";
  for (const auto& [key, value] : found) {
    if (key.starts_with(regions_section)) {
      result.regions[base::failure_domain_id(key.substr(regions_section.size()))] =
          base::region_id(value);
    }
  }
  if (!problems.empty()) {
    problems.pop_back();
    return leaf::new_error(host_settings_error{problems});
  }
  return result;
}

}  // namespace catkintack::control
