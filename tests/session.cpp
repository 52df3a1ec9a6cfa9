#include "session.hpp"

#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "catkintack/gateway/gateway.hpp"

namespace catkintack::tests {
namespace {

using routing::attempt_result;

/// A parsed script line: a command, positional words, and name=value options.
struct session_line {
  base::instant time{};
  std::vector<std::string> words;
  std::map<std::string, std::string> options;

  std::string option(const std::string& name, const std::string& fallback = "") const {
    const auto found = options.find(name);
    return found == options.end() ? fallback : found->second;
  }
  std::uint64_t number(const std::string& name, std::uint64_t fallback) const {
    const auto found = options.find(name);
    return found == options.end() ? fallback : std::stoull(found->second);
  }
  bool has(const std::string& name) const { return options.contains(name); }
};

session_line parse_line(const std::string& text) {
  std::istringstream stream(text);
  session_line line;
  std::uint64_t milliseconds = 0;
  if (!(stream >> milliseconds)) {
    throw std::runtime_error("session line does not begin with a time in ms: " + text);
  }
  line.time = base::instant(std::chrono::milliseconds(milliseconds));
  std::string word;
  while (stream >> word) {
    const auto equals = word.find('=');
    if (equals == std::string::npos) {
      line.words.push_back(word);
    } else {
      line.options[word.substr(0, equals)] = word.substr(equals + 1);
    }
  }
  return line;
}

attempt_result parse_result(const std::string& text) {
  for (const auto result :
       {attempt_result::answered, attempt_result::refused, attempt_result::not_sent,
        attempt_result::broken, attempt_result::timed_out, attempt_result::cancelled}) {
    if (text == routing::to_string(result)) {
      return result;
    }
  }
  throw std::runtime_error("unknown attempt result \"" + text + "\"");
}

class session_runner {
 public:
  std::string run(const std::string& script) {
    std::istringstream lines(script);
    std::string text;
    while (std::getline(lines, text)) {
      if (!text.empty() && text[0] != '#') {
        out_ << "> " << text << "\n";
        execute(parse_line(text));
      }
    }
    return out_.str();
  }

 private:
  /// The decision core of one host. A session without a `host` line has a single unnamed host.
  struct host {
    delivery::host_incarnation self;
    std::unique_ptr<gateway::gateway> core;
  };

  /// Adds a host. An unnamed host owns every request id.
  void add_host(const session_line& line) {
    const std::string name = line.words.size() > 1 ? line.words[1] : "";
    gateway::gateway_options options;
    options.routing.region = base::region_id(line.option("region"));
    options.queue.capacity = line.number("queue", options.queue.capacity);
    options.hedge.burst = static_cast<double>(line.number("hedges", 5));
    create_core(name, line.number("run", 1), options);
  }

  void create_core(const std::string& name, std::uint64_t run, gateway::gateway_options options) {
    const delivery::host_incarnation self{base::host_id(name), base::incarnation(run)};
    if (!name.empty()) {
      options.self = self;
    }
    hosts_[name] = {self, std::make_unique<gateway::gateway>(
                              options, base::seeded_random_hook(1),
                              [this](const std::string& part, const std::string& kind,
                                     const base::request_id& request,
                                     const std::vector<base::event_field>& fields) {
                                record(part, kind, request, fields);
                              })};
  }

  using command = void (session_runner::*)(const session_line& line);

  void execute(const session_line& line) {
    static const std::map<std::string, command> commands = {
        {"host", &session_runner::add_host},
        {"forward_end", &session_runner::end_forward},
        {"stop", &session_runner::begin_stop},
        {"hand_over", &session_runner::hand_over},
        {"successor", &session_runner::name_successor},
        {"customer", &session_runner::add_customer},
        {"allowance", &session_runner::add_allowance},
        {"lists", &session_runner::apply_lists},
        {"upstream", &session_runner::list_upstream},
        {"hosts", &session_runner::set_host_counts},
        {"call", &session_runner::start_call},
        {"end", &session_runner::end_attempt},
        {"probe_end", &session_runner::end_probe},
        {"tick", &session_runner::advance_time},
        {"demand", &session_runner::receive_demand}};
    const auto found = commands.find(line.words.at(0));
    if (found == commands.end()) {
      throw std::runtime_error("unknown session command \"" + line.words[0] + "\"");
    }
    (this->*found->second)(line);
  }

  void begin_stop(const session_line& line) { dispatch(line, gateway::stop_begun{}); }

  void name_successor(const session_line& line) {
    const host& stopped_host = hosts_.at(line.option("of"));
    dispatch(line, gateway::successor_named{stopped_host.self, base::host_id(line.option("is"))});
  }

  void add_customer(const session_line& line) {
    const base::customer_id id(line.words.at(1));
    plans_.customers[id] = {id, base::plan_id(line.words.at(2)), line.words.at(3)};
  }

  void set_host_counts(const session_line& line) {
    const auto hosts = static_cast<std::uint32_t>(std::stoul(line.words.at(1)));
    dispatch(line, gateway::host_count_changed{hosts, hosts});
  }

  void advance_time(const session_line& line) { dispatch(line, gateway::tick{}); }

  void add_allowance(const session_line& line) {
    config::allowance entry;
    entry.plan = base::plan_id(line.words.at(1));
    entry.service = base::service_id(line.words.at(2));
    entry.rate_per_second = static_cast<double>(line.number("rate", 1000));
    entry.burst = static_cast<std::uint32_t>(line.number("burst", 1000));
    entry.max_concurrent = static_cast<std::uint32_t>(line.number("concurrent", 1000));
    allowances_.allowances[{entry.plan, entry.service}] = entry;
  }

  void apply_lists(const session_line& line) {
    plans_.version = base::list_version(line.number("plans", plans_.version.value()));
    allowances_.version =
        base::list_version(line.number("allowances", allowances_.version.value()));
    dispatch(line,
             gateway::lists_adopted{std::make_shared<const config::lists>(plans_, allowances_)});
  }

  void list_upstream(const session_line& line) {
    routing::upstream_record record;
    record.id = base::upstream_id(line.words.at(1));
    record.service = base::service_id(line.words.at(2));
    record.region = base::region_id(line.option("region"));
    record.failure_domain = base::failure_domain_id(line.option("failure_domain"));
    record.slots = static_cast<std::uint32_t>(line.number("slots", 2));
    record.leaving = line.has("leaving");
    upstreams_[record.id] = record;
    std::vector<routing::upstream_record> all;
    for (const auto& [id, entry] : upstreams_) {
      all.push_back(entry);
    }
    dispatch(line, gateway::upstreams_listed{all});
  }

  void start_call(const session_line& line) {
    gateway::call_arrived event;
    event.call = base::call_id(std::stoull(line.words.at(1)));
    event.request = base::request_id(line.option("id"));
    event.key_hash = line.option("key");
    event.service = base::service_id(line.option("service"));
    event.idempotent = line.has("idempotent");
    event.forwarded = line.has("forwarded");
    event.depth = static_cast<std::uint32_t>(line.number("depth", 0));
    if (line.has("retries")) {
      event.retries_left = static_cast<std::uint32_t>(line.number("retries", 0));
    }
    if (line.has("left")) {
      event.time_left = std::chrono::milliseconds(line.number("left", 0));
    }
    dispatch(line, event);
  }

  void end_attempt(const session_line& line) {
    gateway::attempt_ended event;
    event.call = base::call_id(std::stoull(line.words.at(1)));
    event.attempt = base::attempt_number(line.number("attempt", 1));
    event.result = parse_result(line.words.at(2));
    if (event.result == attempt_result::answered) {
      const int status = static_cast<int>(line.number("status", 200));
      event.upstream_response = std::make_shared<const delivery::upstream_response>(
          delivery::upstream_response{status, {}, line.option("body")});
    }
    event.shed = line.number("shed", 0) != 0;
    if (line.has("running")) {
      event.load = read_report(line);
    }
    dispatch(line, event);
  }

  void end_forward(const session_line& line) {
    gateway::forward_ended event;
    event.call = base::call_id(std::stoull(line.words.at(1)));
    const std::string& result = line.words.at(2);
    if (result == "answer") {
      const auto body = std::make_shared<const delivery::upstream_response>(
          delivery::upstream_response{200, {}, line.option("body")});
      event.response = {delivery::outcome::answer, 200, body, {}, {}};
    } else if (result != "lost") {
      throw std::runtime_error("forward_end expects answer or lost, found \"" + result + "\"");
    }
    dispatch(line, event);
  }

  void hand_over(const session_line& line) {
    const host& stopped_host = hosts_.at(line.option("from"));
    const delivery::request_registry& registry = stopped_host.core->registry();
    dispatch(line, gateway::handed_over{
                       {stopped_host.self, registry.oldest_epoch(), true, registry.entries()}});
  }

  static routing::load_report read_report(const session_line& line) {
    routing::load_report report;
    report.running = static_cast<std::uint32_t>(line.number("running", 0));
    report.queued = static_cast<std::uint32_t>(line.number("queued", 0));
    report.leaving = line.number("leaving", 0) != 0;
    return report;
  }

  void end_probe(const session_line& line) {
    gateway::probe_ended event;
    event.upstream = base::upstream_id(line.words.at(1));
    if (line.has("running")) {
      event.load = read_report(line);
    }
    dispatch(line, event);
  }

  void receive_demand(const session_line& line) {
    const base::customer_id customer(line.words.at(2));
    const base::service_id service(line.words.at(3));
    limits::demand_entry entry;
    entry.account = limits::make_account_key(customer, service);
    entry.peak = static_cast<std::uint16_t>(line.number("peak", 0));
    entry.consecutive_reports = static_cast<std::uint8_t>(line.number("held", 1));
    const limits::demand_report report{base::incarnation(1), line.number("sequence", 1), {entry}};
    dispatch(line, gateway::peer_demand_received{base::host_id(line.words.at(1)), report});
  }

  /// Delivers an event to the host named by at=, or to every host if at= is missing.
  void dispatch(const session_line& line, const gateway::gateway_event& event) {
    if (hosts_.empty()) {
      create_core("", 0, {});
    }
    for (auto& [name, target_host] : hosts_) {
      if (line.has("at") && line.option("at") != name) {
        continue;
      }
      current_host_ = name;
      for (const auto& action : target_host.core->handle(line.time, event)) {
        std::visit([this](const auto& concrete) { show(concrete); }, action);
      }
    }
  }

  std::ostream& indented() {
    out_ << "  ";
    return current_host_.empty() ? out_ : out_ << current_host_ << ": ";
  }

  void show(const gateway::forward_call& action) {
    indented() << "forward call " << action.call.value() << " to " << action.host.value() << "\n";
  }

  void show(const gateway::send_attempt& action) {
    indented() << "send call " << action.call.value() << " attempt " << action.attempt.value()
               << " to " << action.target.id.value() << "\n";
  }

  void show(const gateway::cancel_attempt& action) {
    indented() << "cancel call " << action.call.value() << " attempt " << action.attempt.value()
               << "\n";
  }

  void show(const gateway::send_probe& action) {
    indented() << "probe " << action.target.id.value() << "\n";
  }

  void show(const gateway::publish_demand& action) {
    for (const limits::demand_entry& entry : action.report.entries) {
      indented() << "publish demand account " << entry.account << " peak " << entry.peak << " held "
                 << static_cast<int>(entry.consecutive_reports) << "\n";
    }
  }

  void show(const gateway::finish_call& action) {
    indented() << "finish call " << action.call.value() << " " << to_string(action.response.result)
               << " status " << action.response.status;
    if (action.response.upstream_response) {
      out_ << " body \"" << action.response.upstream_response->body << "\"";
    } else {
      out_ << " \"" << action.response.message << "\"";
    }
    if (action.response.retry_after) {
      out_ << " retry after " << action.response.retry_after->count() << "us";
    }
    out_ << "\n";
  }

  void record(const std::string& part,
              const std::string& kind,
              const base::request_id& request,
              const std::vector<base::event_field>& fields) {
    indented() << "event " << part << " " << kind;
    if (!request.empty()) {
      out_ << " [" << request.value() << "]";
    }
    for (const base::event_field& field : fields) {
      out_ << " " << field.name << "=" << field.value;
    }
    out_ << "\n";
  }

  std::ostringstream out_;
  config::plans_list plans_;
  config::allowances_list allowances_;
  std::map<base::upstream_id, routing::upstream_record> upstreams_;
  std::map<std::string, host> hosts_;
  std::string current_host_;
};

}  // namespace

std::string run_session(const std::string& script) { return session_runner().run(script); }

}  // namespace catkintack::tests
