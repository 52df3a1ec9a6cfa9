#include "local_responses.hpp"

#include <utility>

namespace catkintack::gateway {
namespace {

constexpr int status_unavailable = 503;
constexpr base::duration unavailable_retry_after = std::chrono::seconds(1);

}  // namespace

delivery::final_response not_run_response(int status,
                                          std::string message,
                                          std::optional<base::duration> retry_after) {
  return {delivery::outcome::not_run, status, nullptr, std::move(message), retry_after};
}

delivery::final_response unavailable_response(std::string message) {
  return not_run_response(status_unavailable, std::move(message), unavailable_retry_after);
}

delivery::final_response unknown_response(std::string message, int status) {
  return {delivery::outcome::unknown, status, nullptr, std::move(message), std::nullopt};
}

}  // namespace catkintack::gateway
