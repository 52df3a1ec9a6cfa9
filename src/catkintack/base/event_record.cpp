#include "catkintack/base/event_record.hpp"

namespace catkintack::base {

std::string to_text(const event_record& record) {
  std::string line = std::to_string(record.time);
  line += " " + record.host.value() + "/" + std::to_string(record.run.value());
  line += "#" + std::to_string(record.sequence);
  line += " " + record.part + " " + record.kind;
  if (!record.request.empty()) {
    line += " [" + record.request.value() + "]";
  }
  for (const event_field& field : record.fields) {
    line += " " + field.name + "=" + field.value;
  }
  return line;
}

}  // namespace catkintack::base
