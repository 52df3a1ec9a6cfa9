/// @file
/// Final answers as HTTP responses.
#pragma once

#include <string>

#include "catkintack/delivery/final_response.hpp"

namespace httplib {
struct Response;
}

namespace catkintack::daemon {

/// @brief Writes an answer in this system's own words: a JSON body and the outcome's header.
/// @param response The response; its status is set by the caller of this function.
/// @param result The outcome.
/// @param request The request's id; may be empty.
/// @param message What went wrong.
void write_error(httplib::Response& response,
                 delivery::outcome result,
                 const std::string& request,
                 const std::string& message);

/// @brief Writes a final answer.
/// @param response The response.
/// @param end The final answer.
/// @param id The request's id; may be empty.
void write_answer(httplib::Response& response,
                  const delivery::final_response& end,
                  const std::string& id);

}  // namespace catkintack::daemon
