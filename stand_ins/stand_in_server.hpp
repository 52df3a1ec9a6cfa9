/// @file
/// What the stand-ins for the platform's services have in common.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "catkintack/base/address.hpp"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace catkintack::stand_ins {

/// @brief Serves until SIGTERM or SIGINT.
/// @param where The address to listen on.
/// @param add_routes Adds the routes.
/// @param on_stop Called on the signal, before the server ends.
/// @return The process's exit code.
int serve(
    const base::address& where,
    const std::function<void(httplib::Server&)>& add_routes,
    const std::function<void()>& on_stop = [] {});

/// @brief Reads "ip:port" from the command line; prints usage and exits with 2 otherwise.
/// @param argc Argument count.
/// @param argv Arguments.
/// @param usage What the program takes.
/// @return The address.
base::address address_argument(int argc, char** argv, const std::string& usage);

/// @brief Reads a number from the query.
/// @param request The request.
/// @param name The parameter.
/// @param otherwise The value when it is missing or malformed.
/// @return The number.
std::uint64_t number_parameter(const httplib::Request& request,
                               const std::string& name,
                               std::uint64_t otherwise);

/// @brief Makes the connection break in the middle of the answer.
/// @param response The response to spoil.
void lose_answer(httplib::Response& response);

}  // namespace catkintack::stand_ins
