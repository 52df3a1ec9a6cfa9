#include "catkintack/choice/search_area.hpp"

namespace catkintack::choice {

search_place search_area::place_of(const base::region_id& region) const {
  if (!allowed_.allows(region)) {
    return search_place::excluded;
  }
  return own_region_replaced_ || region == own_region_ ? search_place::near : search_place::far;
}

}  // namespace catkintack::choice
