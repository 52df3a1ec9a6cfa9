/// @file
/// Prevents cpp-httplib from transforming the bodies that pass through.
#pragma once

#include <string>

namespace httplib {
struct Request;
}

namespace catkintack::daemon {

/// @brief Renames the headers that cpp-httplib acts upon and clears the requested ranges: the
/// library parses multipart bodies, limits forms to 8 KiB, decompresses requests, compresses
/// responses and cuts them to the requested ranges. Call before the body is read.
/// @param request The library's own request object, which only its handlers see as const.
void mask_headers(const httplib::Request& request);

/// @brief Returns the original name of a header.
/// @param name The name after mask_headers().
std::string unmasked_name(const std::string& name);

}  // namespace catkintack::daemon
