/// @file
/// What an upstream says about itself in a response.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "catkintack/base/ids.hpp"
#include "catkintack/base/request_rate.hpp"
#include "catkintack/base/units.hpp"
#include "catkintack/serving/upstream_protocol.hpp"

namespace catkintack::serving {

struct traffic_state;

/// @brief What an upstream says about itself in a response, whatever the response is to.
struct upstream_notice {
  bool leaving = false;                   ///< It is about to stop and expects no new work.
  std::optional<base::duration> pause{};  ///< It is overloaded and expects no requests for so long.
  /// It accepts so many requests from all hosts together.
  std::optional<base::request_rate> limit{};
  std::string unusable_limit{};  ///< Text of a malformed limit, which neither sets nor ends one.
  /// How much longer it is warming up, zero if it is warm. Empty if it says nothing or the value is
  /// malformed.
  std::optional<base::duration> warm_up_left{};
  bool names_no_limit = false;  ///< A success without a limit, which ends an earlier one.
};

/// @brief The kind of response that a notice came with.
enum class notice_source : std::uint8_t { call, probe };

/// @brief Parses a Retry-After value in seconds, with or without a fraction.
/// @return Nothing for a date, a negative number or other text. Values above a day count as a day.
std::optional<base::duration> parse_retry_after(std::string_view text);

/// @brief Parses a limit in requests per second, with or without a fraction.
/// @return Nothing for a negative number or other text.
std::optional<base::request_rate> parse_limit(std::string_view text);

/// @brief Parses a time in milliseconds, with or without a fraction.
/// @return Nothing for a negative number or other text. Values above an hour count as an hour.
std::optional<base::duration> parse_warm_up_left(std::string_view text);

/// @brief Reads the notice from a response.
upstream_notice read_notice(unsigned status,
                            const boost::beast::http::fields& headers,
                            const upstream_protocol& protocol);

/// @brief Applies a notice: a leaving upstream and one that asked for a pause get no new calls.
void apply_notice(traffic_state& state,
                  const base::upstream_id& upstream,
                  const upstream_notice& notice,
                  notice_source source);

}  // namespace catkintack::serving
