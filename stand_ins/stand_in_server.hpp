/// @file
/// Server and request helpers shared by the stand-ins for the platform's services.
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

/// @brief Runs an HTTP server until SIGTERM or SIGINT.
/// @param address The address to listen on.
/// @param add_routes Registers the request handlers.
/// @param on_stop Called when the signal arrives, before the server stops.
/// @return The exit code of the process.
int serve(
    const base::address& address,
    const std::function<void(httplib::Server&)>& add_routes,
    const std::function<void()>& on_stop = [] {});

/// @brief Reads "ip:port" from the first argument; if it is missing or malformed, prints the usage
/// and exits with code 2.
/// @param argc Argument count of main.
/// @param argv Arguments of main.
/// @param usage The arguments of the program, for the usage line.
base::address address_argument(int argc, char** argv, const std::string& usage);

/// @brief Reads an unsigned number from the query string.
/// @param request The request.
/// @param name The name of the query parameter.
/// @param fallback The result if the parameter is missing or malformed.
std::uint64_t number_parameter(const httplib::Request& request,
                               const std::string& name,
                               std::uint64_t fallback);

/// @brief Closes the connection in the middle of the response body.
/// @param response The response to truncate.
void truncate_response(httplib::Response& response);

}  // namespace catkintack::stand_ins
