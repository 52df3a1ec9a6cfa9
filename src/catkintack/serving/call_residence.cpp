#include "catkintack/serving/call_residence.hpp"

#include <algorithm>
#include <vector>

#include "catkintack/serving/status.hpp"

namespace catkintack::serving {
namespace {

// Only a new configuration can change the answer, so callers need not ask again soon.
constexpr base::duration retry_after_nowhere = std::chrono::seconds(10);

bool fits_in_header(const std::string& name) {
  return !name.empty() && std::ranges::all_of(name, [](char byte) {
    return byte > ' ' && byte <= '~' && byte != ',';
  });
}

std::string join(const std::vector<base::region_id>& regions) {
  std::string text;
  for (const base::region_id& region : regions) {
    text += (text.empty() ? "" : ",") + region.value();
  }
  return text;
}

/// @brief Reads one header line; spaces around the names are ignored.
choice::residence read_regions(std::string_view text) {
  std::vector<base::region_id> named;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    std::string_view name = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const std::size_t first = std::min(name.find_first_not_of(" \t"), name.size());
    name.remove_prefix(first);
    name = name.substr(0, name.find_last_not_of(" \t") + 1);
    if (!name.empty()) {
      named.emplace_back(std::string(name));
    }
  }
  return named.empty() ? choice::residence::nowhere() : choice::residence::of(std::move(named));
}

}  // namespace

choice::residence residence_of(const call& served) {
  return served.allowed_nowhere ? choice::residence::nowhere()
                                : choice::residence::of(served.allowed_regions);
}

void restrict_to_regions(call& admitted,
                         const routes::customer_policy* customer,
                         const choice::residence& relayed) {
  choice::residence allowed =
      choice::residence::of(admitted.route->allowed_regions).intersect(relayed);
  if (customer != nullptr) {
    allowed = allowed.intersect(choice::residence::of(customer->allowed_regions));
  }
  admitted.allowed_regions = allowed.regions();
  admitted.allowed_nowhere = allowed.allows_nothing();
}

std::optional<local_response> refuse_by_residence(const traffic_state& state,
                                                  const call& admitted) {
  if (admitted.relayed) {
    if (residence_of(admitted).allows(state.options.region)) {
      return std::nullopt;
    }
    return local_response{.status = status::misdirected,
                          .body = "not run: this host is not in a region that may serve it\n",
                          .request_id = admitted.id};
  }
  if (!admitted.allowed_nowhere) {
    return std::nullopt;
  }
  return local_response{.status = status::unavailable,
                        .body = "not run: its route and its customer allow no common region\n",
                        .retry_after = retry_after_nowhere,
                        .request_id = admitted.id};
}

choice::residence read_relay_regions(const http::fields& headers) {
  choice::residence result;
  const auto [first, last] = headers.equal_range(relay_regions_header);
  for (auto field = first; field != last; ++field) {
    result = result.intersect(read_regions(to_string_view(field->value())));
  }
  return result;
}

std::optional<std::string> format_relay_regions(const choice::residence& allowed) {
  const auto fits = [](const base::region_id& one) { return fits_in_header(one.value()); };
  if (!std::ranges::all_of(allowed.regions(), fits)) {
    return std::nullopt;
  }
  return join(allowed.regions());
}

std::string describe(const choice::residence& allowed) {
  if (!allowed.restricted()) {
    return "all";
  }
  return allowed.allows_nothing() ? "none" : join(allowed.regions());
}

}  // namespace catkintack::serving
