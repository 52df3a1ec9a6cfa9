/// @file
/// Conversion of final answers to HTTP responses.
#pragma once

#include <string>

#include "catkintack/delivery/final_response.hpp"

namespace httplib {
struct Response;
}

namespace catkintack::daemon {

/// @brief Writes an error response of this system: a JSON body and the outcome header.
/// @param response The response; the caller of this function sets its status.
/// @param request The request id; may be empty.
/// @param message The cause of the error.
void write_error(httplib::Response& response,
                 delivery::outcome result,
                 const std::string& request,
                 const std::string& message);

/// @brief Writes a final answer as an HTTP response.
/// @param id The request id; may be empty.
void write_answer(httplib::Response& response,
                  const delivery::final_response& end,
                  const std::string& id);

}  // namespace catkintack::daemon
