#include "catkintack/config/list_document.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "catkintack/config/list_codec.hpp"
#include "catkintack/config/parse_json.hpp"

namespace catkintack::config {
namespace {

using nlohmann::json;
namespace leaf = boost::leaf;

constexpr int file_indent = 2;

const char* array_of(list_kind kind) {
  return kind == list_kind::plans ? "customers" : "allowances";
}

std::string name_of(list_kind kind, const json& entry) {
  if (kind == list_kind::plans) {
    return entry.at("customer").get<std::string>();
  }
  return entry.at("plan").get<std::string>() + "/" + entry.at("service").get<std::string>();
}

json to_json_value(const edit_record& record) {
  json changes = json::array();
  for (const entry_change& change : record.changes) {
    changes.push_back(
        {{"entry", change.entry}, {"before", change.before}, {"after", change.after}});
  }
  return {{"version", record.version.value()}, {"edit", record.edit.value()},
          {"operator", record.author},         {"time", record.time},
          {"summary", record.summary},         {"changes", changes}};
}

edit_record read_record(const json& value) {
  edit_record record;
  record.version = base::list_version(value.at("version").get<std::uint64_t>());
  record.edit = base::edit_id(value.at("edit").get<std::uint64_t>());
  record.author = value.at("operator").get<std::string>();
  record.time = value.at("time").get<std::int64_t>();
  record.summary = value.at("summary").get<std::string>();
  for (const json& change : value.at("changes")) {
    record.changes.push_back({change.at("entry").get<std::string>(),
                              change.at("before").get<std::string>(),
                              change.at("after").get<std::string>()});
  }
  return record;
}

/// Returns the newest edits that fit within the limits, oldest first.
json history_of(const list_document& document) {
  std::vector<json> newest_first;
  std::size_t bytes = 0;
  const std::vector<edit_record> records(document.history.rbegin(), document.history.rend());
  for (const edit_record& record : records) {
    json value = to_json_value(record);
    bytes += value.dump().size();
    if (newest_first.size() == max_history_edits || bytes > max_history_bytes) {
      break;
    }
    newest_first.push_back(std::move(value));
  }
  return json(std::vector<json>(newest_first.rbegin(), newest_first.rend()));
}

json entries_of(const list_document& document) {
  json entries = json::array();
  for (const auto& [name, text] : document.entries) {
    entries.push_back(json::parse(text));
  }
  return entries;
}

leaf::result<void> check(list_kind kind, const std::string& text) {
  if (kind == list_kind::plans) {
    BOOST_LEAF_CHECK(parse_plans(text));
  } else {
    BOOST_LEAF_CHECK(parse_allowances(text));
  }
  return {};
}

list_stamp read_stamp(const json& document) {
  return {base::list_version(document.at("version").get<std::uint64_t>()),
          base::edit_id(document.value("edit", std::uint64_t{0}))};
}

leaf::error_id malformed(list_kind kind, const json::exception& error) {
  return leaf::new_error(
      config_error{config_error_kind::malformed_list,
                   std::string(to_string(kind)) + " list is malformed: " + error.what()});
}

}  // namespace

leaf::result<list_document> parse_document(list_kind kind, const std::string& text) {
  list_document document;
  document.kind = kind;
  if (text.empty()) {
    return document;
  }
  BOOST_LEAF_CHECK(check(kind, text));
  try {
    const json value = parse_json(text);
    document.stamp = read_stamp(value);
    for (const json& record : value.value("history", json::array())) {
      document.history.push_back(read_record(record));
    }
    for (const json& entry : value.at(array_of(kind))) {
      document.entries.emplace(name_of(kind, entry), entry.dump());
    }
  } catch (const json::exception& error) {
    return malformed(kind, error);
  }
  return document;
}

leaf::result<std::map<std::string, std::string>> parse_entries(list_kind kind,
                                                               const std::string& text) {
  json value;
  try {
    value = parse_json(text);
  } catch (const json::exception&) {
    value = json::value_t::discarded;  // parse_document reports the error.
  }
  if (value.is_object()) {
    value["version"] = 0;
    value.erase("history");
  }
  BOOST_LEAF_AUTO(document, parse_document(kind, value.is_object() ? value.dump() : text));
  return document.entries;
}

std::string to_json(const list_document& document) {
  return json{{"version", document.stamp.version.value()},
              {"edit", document.stamp.edit.value()},
              {"history", history_of(document)},
              {array_of(document.kind), entries_of(document)}}
      .dump();
}

std::string to_file_text(const list_document& document) {
  return json{{"version", document.stamp.version.value()},
              {array_of(document.kind), entries_of(document)}}
      .dump(file_indent);
}

leaf::result<list_body> parse_body(list_kind kind, const std::string& text) {
  if (text.empty()) {
    return list_body{kind, {}, ""};
  }
  BOOST_LEAF_CHECK(check(kind, text));
  return list_body{kind, read_stamp(json::parse(text)), text};
}

}  // namespace catkintack::config
