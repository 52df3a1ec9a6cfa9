#include "catkintack/daemon/settings_value.hpp"

#include <charconv>
#include <utility>
#include <vector>

namespace catkintack::daemon {
namespace {

struct unit {
  const char* name;
  std::uint64_t factor;
};

const std::vector<unit> time_units = {{"us", 1}, {"ms", 1'000}, {"s", 1'000'000}};
const std::vector<unit> size_units = {{"B", 1}, {"KiB", 1ULL << 10U}, {"MiB", 1ULL << 20U}};
constexpr std::size_t min_secret_length = 16;

std::optional<std::uint64_t> parse_with_unit(const std::string& text,
                                             const std::vector<unit>& units) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{}) {
    return std::nullopt;
  }
  const std::string name(rest, end);
  for (const unit& candidate : units) {
    constexpr std::uint64_t max_value = 1ULL << 40U;
    if (name == candidate.name && number <= max_value / candidate.factor) {
      return number * candidate.factor;
    }
  }
  return std::nullopt;
}

std::string format_duration(base::duration value) {
  constexpr std::int64_t microseconds_per_second = 1'000'000;
  constexpr std::int64_t microseconds_per_millisecond = 1'000;
  if (value.count() % microseconds_per_second == 0) {
    return std::to_string(value.count() / microseconds_per_second) + "s";
  }
  return std::to_string(value.count() / microseconds_per_millisecond) + "ms";
}

}  // namespace

value_reader name_value(std::function<void(settings&, std::string)> setter) {
  return [setter = std::move(setter)](const std::string& text,
                                      settings& target) -> std::optional<std::string> {
    static constexpr const char* allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    if (text.empty() || text.find_first_not_of(allowed) != std::string::npos) {
      return "a name of letters, digits, '.', '_' and '-'";
    }
    setter(target, text);
    return std::nullopt;
  };
}

value_reader address_value(base::address settings::*field) {
  return [field](const std::string& text, settings& target) -> std::optional<std::string> {
    const auto address = base::parse_address(text);
    if (!address) {
      return "an IPv4 address with a port, such as 127.0.0.1:8080";
    }
    target.*field = *address;
    return std::nullopt;
  };
}

value_reader duration_value(base::duration settings::*field,
                            base::duration minimum,
                            base::duration maximum) {
  return [=](const std::string& text, settings& target) -> std::optional<std::string> {
    const auto count = parse_with_unit(text, time_units);
    const base::duration value(count.value_or(0));
    if (!count || value < minimum || value > maximum) {
      return "a span with unit us, ms or s, from " + format_duration(minimum) + " to " +
             format_duration(maximum);
    }
    target.*field = value;
    return std::nullopt;
  };
}

value_reader count_value(std::uint32_t settings::*field,
                         std::uint32_t minimum,
                         std::uint32_t maximum) {
  return [=](const std::string& text, settings& target) -> std::optional<std::string> {
    const auto count = parse_with_unit(text, {{"", 1}});
    if (!count || *count < minimum || *count > maximum) {
      return "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    }
    target.*field = static_cast<std::uint32_t>(*count);
    return std::nullopt;
  };
}

value_reader size_value(std::uint64_t settings::*field,
                        std::uint64_t minimum,
                        std::uint64_t maximum) {
  return [=](const std::string& text, settings& target) -> std::optional<std::string> {
    const auto size = parse_with_unit(text, size_units);
    if (!size || *size < minimum || *size > maximum) {
      return "a size with unit B, KiB or MiB, from " + std::to_string(minimum) + "B to " +
             std::to_string(maximum) + "B";
    }
    target.*field = *size;
    return std::nullopt;
  };
}

value_reader secret_value(std::string settings::*field) {
  return [field](const std::string& text, settings& target) -> std::optional<std::string> {
    if (text.size() < min_secret_length) {
      return "a secret of at least 16 characters";
    }
    target.*field = text;
    return std::nullopt;
  };
}

value_reader level_value() {
  return [](const std::string& text, settings& target) -> std::optional<std::string> {
    static const std::vector<std::pair<std::string, logging::log_level>> levels = {
        {"debug", logging::log_level::debug},
        {"info", logging::log_level::info},
        {"warning", logging::log_level::warning},
        {"error", logging::log_level::error}};
    for (const auto& [name, level] : levels) {
      if (text == name) {
        target.level = level;
        return std::nullopt;
      }
    }
    return "debug, info, warning or error";
  };
}

value_reader flag_value(std::function<void(settings&, bool)> setter) {
  return [setter = std::move(setter)](const std::string& text,
                                      settings& target) -> std::optional<std::string> {
    if (text != "yes" && text != "no") {
      return "yes or no";
    }
    setter(target, text == "yes");
    return std::nullopt;
  };
}

}  // namespace catkintack::daemon
