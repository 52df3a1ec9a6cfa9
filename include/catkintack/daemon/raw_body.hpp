/// @file
/// Keeps the HTTP library from changing the bodies that pass through.
#pragma once

#include <string>

namespace httplib {
struct Request;
}

namespace catkintack::daemon {

/// @brief Renames the headers that the library would act upon: it takes multipart bodies apart,
/// limits forms to 8 KiB, unpacks requests, packs answers and cuts them by ranges. Call before it
/// reads the body.
/// @param request The library's own request, which is const only to its hooks.
void hide_headers(const httplib::Request& request);

/// @brief A header's name as the caller wrote it.
/// @param name The name after hide_headers().
/// @return The name before.
std::string shown_name(const std::string& name);

}  // namespace catkintack::daemon
