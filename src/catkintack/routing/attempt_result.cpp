#include "catkintack/routing/attempt_result.hpp"

namespace catkintack::routing {

const char* to_string(attempt_result result) {
  switch (result) {
    case attempt_result::answered:
      return "answered";
    case attempt_result::refused:
      return "refused";
    case attempt_result::not_sent:
      return "not_sent";
    case attempt_result::broken:
      return "broken";
    case attempt_result::timed_out:
      return "timed_out";
    case attempt_result::cancelled:
      return "cancelled";
  }
  return "invalid";
}

}  // namespace catkintack::routing
