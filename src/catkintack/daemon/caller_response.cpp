#include "caller_response.hpp"

#include <httplib.h>
#include <strings.h>

#include <nlohmann/json.hpp>

#include "catkintack/net/headers.hpp"

namespace catkintack::daemon {
namespace {

namespace headers = net::headers;
using delivery::final_response;
using delivery::outcome;

constexpr int status_unavailable = 503;

std::string format_seconds(base::duration span) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(span).count());
}

bool is_content_type(const std::string& name) {
  return ::strcasecmp(name.c_str(), "Content-Type") == 0;
}

}  // namespace

void write_error(httplib::Response& response,
                 outcome result,
                 const std::string& request,
                 const std::string& message) {
  nlohmann::json body = {{"outcome", to_string(result)}, {"error", message}};
  if (!request.empty()) {
    body["request"] = request;
  }
  response.set_header(headers::outcome, to_string(result));
  response.set_content(body.dump() + "\n", "application/json");
}

void write_answer(httplib::Response& response, const final_response& end, const std::string& id) {
  response.status = end.status;
  if (end.retry_after) {
    response.set_header(headers::retry_after, format_seconds(*end.retry_after));
  }
  if (end.result != outcome::answer) {
    write_error(response, end.result, id, end.message);
    if (end.result == outcome::not_run && end.status == status_unavailable) {
      response.set_header(headers::shed, "1");
    }
    return;
  }
  response.set_header(headers::outcome, to_string(end.result));
  std::string type;
  for (const auto& [name, value] : end.upstream_response->headers) {
    if (is_content_type(name)) {
      type = value;
    } else {
      response.set_header(name, value);
    }
  }
  response.set_content(end.upstream_response->body, type);
}

}  // namespace catkintack::daemon
