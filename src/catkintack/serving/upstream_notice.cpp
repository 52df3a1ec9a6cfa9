#include "catkintack/serving/upstream_notice.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "catkintack/serving/status.hpp"
#include "catkintack/serving/traffic_state.hpp"

namespace catkintack::serving {

std::optional<base::duration> parse_retry_after(std::string_view text) {
  constexpr double longest_seconds = 24 * 60 * 60;
  double seconds = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  const bool too_large = error == std::errc::result_out_of_range;
  if ((error != std::errc{} && !too_large) || rest != end || !std::isfinite(seconds) ||
      seconds < 0) {
    return std::nullopt;
  }
  const double bounded = too_large ? longest_seconds : std::min(seconds, longest_seconds);
  return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(bounded));
}

upstream_notice read_notice(unsigned status,
                            const http::fields& headers,
                            const upstream_protocol& protocol) {
  upstream_notice result;
  result.leaving = to_string_view(headers[protocol.leaving]) == "1";
  if (status == status::unavailable && headers.count(http::field::retry_after) > 0) {
    result.pause = parse_retry_after(to_string_view(headers[http::field::retry_after]));
  }
  return result;
}

void apply_notice(traffic_state& state,
                  const base::upstream_id& upstream,
                  const upstream_notice& notice) {
  const base::instant now = state.clock();
  if (notice.leaving && state.upstreams.mark_leaving(upstream, now)) {
    state.metrics.add("upstreams_leaving_total");
    state.log.write("upstream_leaving", {{"upstream", upstream.value()}, {"source", "response"}});
  }
  if (notice.pause) {
    state.pauses.on_request(upstream, *notice.pause, now);
    state.metrics.add("upstream_pauses_total");
    state.log.write("upstream_paused",
                    {{"upstream", upstream.value()}, {"requested_us", notice.pause->count()}});
  }
}

}  // namespace catkintack::serving
