#include "catkintack/daemon/event_json.hpp"

#include <nlohmann/json.hpp>

namespace catkintack::daemon {

nlohmann::json to_json(const base::event_record& record) {
  nlohmann::json fields = nlohmann::json::array();
  for (const base::event_field& field : record.fields) {
    fields.push_back({field.name, field.value});
  }
  return {{"time", record.time},
          {"host", record.host.value()},
          {"incarnation", record.run.value()},
          {"sequence", record.sequence},
          {"request", record.request.value()},
          {"part", record.part},
          {"kind", record.kind},
          {"fields", fields}};
}

base::event_record event_from_json(const nlohmann::json& value) {
  base::event_record record;
  record.time = value.at("time").get<std::uint64_t>();
  record.host = base::host_id(value.at("host").get<std::string>());
  record.run = base::incarnation(value.at("incarnation").get<std::uint64_t>());
  record.sequence = value.at("sequence").get<std::uint64_t>();
  record.request = base::request_id(value.at("request").get<std::string>());
  record.part = value.at("part").get<std::string>();
  record.kind = value.at("kind").get<std::string>();
  for (const nlohmann::json& field : value.at("fields")) {
    record.fields.push_back({field.at(0).get<std::string>(), field.at(1).get<std::string>()});
  }
  return record;
}

}  // namespace catkintack::daemon
