/// @file
/// Recognizes the same request in several calls.
#pragma once

#include "catkintack/base/ids.hpp"
#include "catkintack/serving/call.hpp"

namespace catkintack::serving {

/// @brief Returns the fingerprint of a call: equal for calls with the same method, host, target,
/// credentials (with customers: customer) and body, whichever host receives them.
///
/// The request id and the time left are not part of it, as they differ with each attempt of a
/// caller. Of a body that is too large to be buffered, the first part and the length count.
base::request_fingerprint fingerprint_of(const call& received);

}  // namespace catkintack::serving
