#include "catkintack/delivery/outcome.hpp"

namespace catkintack::delivery {

const char* to_string(outcome value) {
  switch (value) {
    case outcome::answer:
      return "answer";
    case outcome::not_run:
      return "not_run";
    case outcome::unknown:
      return "unknown";
  }
  return "invalid";
}

}  // namespace catkintack::delivery
