#include "catkintack/daemon/settings.hpp"

#include <ini.h>

#include <fstream>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

#include "settings_value.hpp"

namespace catkintack::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct key_rule {
  std::string section;
  std::string key;
  bool required = false;
  std::string description;
  value_reader read;
};

constexpr const char* service_prefix = "service ";
constexpr std::uint64_t max_body_limit_bytes = 64U << 20U;

std::vector<key_rule> identity_rules() {
  return {
      {"host", "id", true, "name of this host",
       name_value([](settings& s, std::string v) { s.host = base::host_id(std::move(v)); })},
      {"host", "region", true, "region of this host",
       name_value([](settings& s, std::string v) { s.region = base::region_id(std::move(v)); })},
      {"host", "failure_domain", true, "failure domain of this host",
       name_value([](settings& s, std::string v) {
         s.failure_domain = base::failure_domain_id(std::move(v));
       })},
      {"listen", "callers", true, "address for callers", address_value(&settings::callers)},
      {"listen", "peers", true, "address for other hosts, UDP and TCP",
       address_value(&settings::peers)},
      {"listen", "admin", true, "address for operators and the balancer's check",
       address_value(&settings::admin)},
      {"platform", "store", true, "address of the store", address_value(&settings::store)},
      {"platform", "host_list", true, "address of the host list",
       address_value(&settings::host_list)},
      {"peers", "key", true, "secret shared by all hosts", secret_value(&settings::peer_key)},
  };
}

std::vector<key_rule> behaviour_rules() {
  return {
      {"calls", "default_time_left", false, "deadline of callers that send none (5s)",
       duration_value(&settings::default_time_left, milliseconds(1), seconds(300))},
      {"calls", "max_attempts", false, "attempts per call (3)",
       count_value(&settings::max_attempts, 1, 10)},
      {"calls", "max_body", false, "largest request body (8MiB)",
       size_value(&settings::max_body_bytes, 1, max_body_limit_bytes)},
      {"calls", "max_connections", false, "callers' connections at once (256)",
       count_value(&settings::max_connections, 1, 4096)},
      {"calls", "stop_limit", false, "longest planned stop (30s)",
       duration_value(&settings::stop_limit, milliseconds(100), seconds(600))},
      {"log", "level", false, "least severe level logged (info)", level_value()},
  };
}

std::vector<key_rule> all_rules() {
  std::vector<key_rule> rules = identity_rules();
  for (key_rule& rule : behaviour_rules()) {
    rules.push_back(std::move(rule));
  }
  return rules;
}

std::vector<key_rule> service_rules(const std::string& section) {
  const base::service_id service(section.substr(std::string(service_prefix).size()));
  return {
      {section, "idempotent", false, "whether all of the service's methods may run twice (no)",
       flag_value([service](settings& s, bool v) { s.services[service].idempotent = v; })},
      {section, "require_request_id", false,
       "whether requests that may not run twice need a request id (yes)",
       flag_value([service](settings& s, bool v) { s.services[service].require_request_id = v; })}};
}

class settings_parser {
 public:
  settings_parser(std::string name, const std::string& text)
      : name_(std::move(name)), stream_(text), rules_(all_rules()) {}

  boost::leaf::result<settings> parse() {
    ini_parse_stream(&settings_parser::next_line, this, &settings_parser::on_value, this);
    check_required_keys();
    check_combinations();
    if (!errors_.empty()) {
      return boost::leaf::new_error(settings_error{errors_});
    }
    return result_;
  }

 private:
  static char* next_line(char* buffer, int size, void* user) {
    auto* const self = static_cast<settings_parser*>(user);
    std::string line;
    if (!std::getline(self->stream_, line)) {
      return nullptr;
    }
    ++self->line_;
    if (line.size() + 2 > static_cast<std::size_t>(size)) {
      self->add_line_error("line is longer than " + std::to_string(size - 2) + " characters");
      line.clear();
    }
    self->check_syntax(line);
    line += "\n";
    line.copy(buffer, line.size());
    buffer[line.size()] = '\0';
    return buffer;
  }

  static int on_value(void* user, const char* section, const char* key, const char* value) {
    static_cast<settings_parser*>(user)->set(section, key, value);
    return 1;
  }

  void check_syntax(const std::string& line) {
    const auto first = line.find_first_not_of(" \t\r");
    if (first == std::string::npos || line[first] == ';' || line[first] == '#') {
      return;
    }
    const bool section = line[first] == '[' && line.find(']') != std::string::npos;
    if (!section && line.find('=') == std::string::npos) {
      add_line_error("\"" + line + "\" is neither a section nor key = value");
    }
  }

  void set(const std::string& section, const std::string& key, const std::string& value) {
    if (!seen_.emplace(section, key).second) {
      add_line_error("[" + section + "] " + key + " is set twice");
      return;
    }
    const key_rule* const rule = find_rule(section, key);
    if (rule == nullptr) {
      return;
    }
    if (const auto allowed = rule->read(value, result_)) {
      add_line_error("[" + section + "] " + key + " must be " + *allowed);
    }
  }

  const key_rule* find_rule(const std::string& section, const std::string& key) {
    if (section.rfind(service_prefix, 0) == 0 && !is_known_section(section)) {
      for (key_rule& rule : service_rules(section)) {
        rules_.push_back(std::move(rule));
      }
    }
    for (const key_rule& rule : rules_) {
      if (rule.section == section && rule.key == key) {
        return &rule;
      }
    }
    if (is_known_section(section)) {
      add_line_error("[" + section + "] has no key \"" + key + "\"; its keys are " +
                     key_names(section));
    } else {
      add_line_error("section [" + section + "] does not exist; sections are " + section_names());
    }
    return nullptr;
  }

  bool is_known_section(const std::string& section) const {
    for (const key_rule& rule : rules_) {
      if (rule.section == section) {
        return true;
      }
    }
    return false;
  }

  std::string key_names(const std::string& section) const {
    std::string keys;
    for (const key_rule& rule : rules_) {
      if (rule.section == section) {
        keys += (keys.empty() ? "" : ", ") + rule.key;
      }
    }
    return keys;
  }

  std::string section_names() const {
    std::set<std::string> names;
    for (const key_rule& rule : rules_) {
      names.insert("[" + rule.section + "]");
    }
    names.insert("[service NAME]");
    std::string list;
    for (const std::string& name : names) {
      list += (list.empty() ? "" : ", ") + name;
    }
    return list;
  }

  void check_required_keys() {
    for (const key_rule& rule : rules_) {
      if (rule.required && !seen_.contains({rule.section, rule.key})) {
        add_error(name_ + ": [" + rule.section + "] " + rule.key +
                  " is missing: " + rule.description);
      }
    }
  }

  /// Validates combinations of keys; missing and malformed keys are reported elsewhere.
  void check_combinations() {
    check_addresses();
    if (result_.stop_limit < result_.default_time_left) {
      add_error(name_ +
                ": [calls] stop_limit must be at least [calls] default_time_left, or a planned "
                "stop cuts calls");
    }
  }

  void check_addresses() {
    std::map<std::string, std::string> keys_by_address;
    for (const auto& [key, where] : addresses()) {
      if (where.port == 0) {
        continue;
      }
      const auto [first, added] = keys_by_address.emplace(base::to_string(where), key);
      if (!added) {
        add_error(name_ + ": " + first->second + " and " + key + " are both " +
                  base::to_string(where) + "; each needs an address of its own");
      }
    }
  }

  std::vector<std::pair<std::string, base::address>> addresses() const {
    return {{"[listen] callers", result_.callers},
            {"[listen] peers", result_.peers},
            {"[listen] admin", result_.admin},
            {"[platform] store", result_.store},
            {"[platform] host_list", result_.host_list}};
  }

  void add_line_error(const std::string& message) {
    add_error(name_ + ":" + std::to_string(line_) + ": " + message);
  }

  void add_error(const std::string& message) { errors_ += (errors_.empty() ? "" : "\n") + message; }

  std::string name_;
  std::istringstream stream_;
  std::vector<key_rule> rules_;
  std::set<std::pair<std::string, std::string>> seen_;
  settings result_;
  std::string errors_;
  int line_ = 0;
};

}  // namespace

boost::leaf::result<settings> parse_settings(const std::string& name, const std::string& text) {
  return settings_parser(name, text).parse();
}

boost::leaf::result<settings> read_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return boost::leaf::new_error(settings_error{path + ": cannot be read"});
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parse_settings(path, text.str());
}

std::string settings_reference() {
  std::string text;
  std::string section;
  std::vector<key_rule> rules = all_rules();
  for (key_rule& rule : service_rules(std::string(service_prefix) + "NAME")) {
    rules.push_back(std::move(rule));
  }
  settings scratch;
  for (const key_rule& rule : rules) {
    if (rule.section != section) {
      section = rule.section;
      text += "[" + section + "]\n";
    }
    // No key accepts an empty value, so the reader returns a description of the allowed values.
    const std::string allowed = rule.read("", scratch).value_or("any text");
    text += "  " + rule.key + (rule.required ? " (required)" : "") + ": " + rule.description +
            "; " + allowed + "\n";
  }
  return text;
}

}  // namespace catkintack::daemon
