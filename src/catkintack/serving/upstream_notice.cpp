#include "catkintack/serving/upstream_notice.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>

#include "catkintack/serving/limit_knowledge.hpp"
#include "catkintack/serving/status.hpp"
#include "catkintack/serving/traffic_state.hpp"
#include "catkintack/serving/warm_up_knowledge.hpp"

namespace catkintack::serving {
namespace {

/// @brief Parses a decimal number of 0 or more; larger ones than `max` are cut to it.
std::optional<double> parse_decimal(std::string_view text, double max) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool too_large = error == std::errc::result_out_of_range;
  if ((error != std::errc{} && !too_large) || rest != end || !std::isfinite(value) || value < 0) {
    return std::nullopt;
  }
  return too_large ? max : std::min(value, max);
}

void apply_limit(traffic_state& state,
                 const base::upstream_id& upstream,
                 const upstream_notice& notice,
                 notice_source source) {
  if (!notice.unusable_limit.empty()) {
    state.log.write("upstream_limit_refused", {{"upstream", upstream.value()},
                                               {"value", notice.unusable_limit},
                                               {"why", "not a number of 0 or more"}});
  }
  if (notice.limit || notice.names_no_limit) {
    observe_limit(state, upstream, notice.limit,
                  source == notice_source::call ? "response" : "probe");
  }
}

}  // namespace

std::optional<base::duration> parse_retry_after(std::string_view text) {
  constexpr double longest_seconds = 24 * 60 * 60;
  const std::optional<double> seconds = parse_decimal(text, longest_seconds);
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(*seconds));
}

std::optional<base::request_rate> parse_limit(std::string_view text) {
  constexpr double highest = 1e9;
  const std::optional<double> per_second = parse_decimal(text, highest);
  return per_second ? std::optional(base::request_rate(*per_second)) : std::nullopt;
}

std::optional<base::duration> parse_warm_up_left(std::string_view text) {
  constexpr double max_milliseconds = 60 * 60 * 1000;
  const std::optional<double> left = parse_decimal(text, max_milliseconds);
  if (!left) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<base::duration>(
      std::chrono::duration<double, std::milli>(*left));
}

upstream_notice read_notice(unsigned status,
                            const http::fields& headers,
                            const upstream_protocol& protocol) {
  upstream_notice result;
  result.leaving = to_string_view(headers[protocol.leaving]) == "1";
  if (status == status::unavailable && headers.count(http::field::retry_after) > 0) {
    result.pause = parse_retry_after(to_string_view(headers[http::field::retry_after]));
  }
  const bool has_limit = headers.count(protocol.limit) > 0;
  const std::string_view limit = to_string_view(headers[protocol.limit]);
  result.limit = parse_limit(limit);
  if (has_limit && !result.limit) {
    result.unusable_limit = limit;
  }
  result.warm_up_left = parse_warm_up_left(to_string_view(headers[protocol.warm_up_left]));
  result.names_no_limit = !has_limit && status >= status::ok && status < status::multiple_choices &&
                          headers.count(protocol.proof) > 0;
  return result;
}

void apply_notice(traffic_state& state,
                  const base::upstream_id& upstream,
                  const upstream_notice& notice,
                  notice_source source) {
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
  apply_limit(state, upstream, notice, source);
  if (source == notice_source::probe && notice.warm_up_left) {
    observe_warm_up(state, upstream, *notice.warm_up_left);
  }
}

}  // namespace catkintack::serving
