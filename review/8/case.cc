// ROUTE: a version adds a public route to one virtual host. A route of another virtual host that has
// the same name becomes public too, on the hosts that get the version from another host.
#include "../rig-2/rig.h"

namespace {

constexpr double request_pause_s = 0.2;

std::string config(const std::string& version, bool with_status_page) {
  const auto route = [](const std::string& name, const std::string& prefix, bool is_public) {
    return rig::json{{"name", name},
                     {"prefix", prefix},
                     {"kind", "unsafe"},
                     {"timeout", "2000ms"},
                     {"target-latency", "500ms"},
                     {"priority", 1},
                     {"service", "bookdesk"},
                     {"max-attempts", 2},
                     {"public", is_public}};
  };
  rig::json hosts = {
      {{"host", "bookings.example"}, {"paths", {route("commit", "/commit/", false)}}}};
  if (with_status_page) {
    hosts.push_back({{"host", "trial.example"}, {"paths", {route("commit", "/commit/", true)}}});
  }
  return rig::json{
      {"version", version},
      {"services", {{{"name", "bookdesk"}, {"health-path", "/health"}, {"max-connections", 220}}}},
      {"limits",
       {{"max-header-bytes", 16384},
        {"max-body-bytes", 1048576},
        {"header-timeout", "3000ms"},
        {"idle-timeout", "15000ms"}}},
      {"tenants",
       {{{"name", "forwarder"},
         {"api-keys", {"key-of-forwarder"}},
         {"rate-per-s", 1000},
         {"burst", 1000},
         {"priority", 1}}}},
      {"virtual-hosts", hosts}}
      .dump();
}

}  // namespace

int main(int argc, char** argv) {
  const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
  const std::string program = argc > 1 ? argv[1] : "target/platform/catkintackd-platform";
  rig::record_file record(argc > 2 ? argv[2] : "record.txt");

  rig::site site;
  for (int i = 0; i < 5; ++i) {
    site.host_ips.push_back("127.0.4." + std::to_string(11 + i));
    site.zones.push_back("zone-" + std::to_string(1 + i % 3));
  }
  site.regions = {{"zone-1", "east"}, {"zone-2", "east"}, {"zone-3", "east"}};
  site.quota = "window = 5s\novershoot = 0.1\nslack = 20\n";
  rig::choose_ports(site);
  const std::string platform_ip = "127.0.4.1";
  const int store_port = rig::free_port({platform_ip});
  site.store_address = platform_ip + ":" + std::to_string(store_port);

  rig::store store(platform_ip, store_port);
  store.put("op/config", config("00000007", false));
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::vector<std::unique_ptr<rig::endpoint>> endpoints;
  for (int i = 0; i < 6; ++i) {
    const std::string ip = "127.0.4." + std::to_string(31 + i);
    endpoints.push_back(std::make_unique<rig::endpoint>(
        store,
        rig::endpoint_options{.id = "i-" + std::to_string(i),
                              .service = "bookdesk",
                              .zone = "zone-" + std::to_string(1 + i % 3),
                              .ip = ip,
                              .port = rig::free_port({ip}),
                              .slots = 8,
                              .work_s = 0.01},
        [&](rig::endpoint& self, const rig::message& request) {
          const std::string id = request.header("catkintack-request-id");
          record.line("run %s at %s, tenant \"%s\"", id.c_str(), self.options.id.c_str(),
                      request.header("catkintack-tenant-id").c_str());
          const std::lock_guard guard(mutex);
          ++runs[id];
          return "booked " + id;
        }));
  }
  std::vector<std::unique_ptr<rig::host>> hosts;
  for (std::size_t i = 0; i < site.host_ips.size(); ++i) {
    hosts.push_back(std::make_unique<rig::host>(site, i, true, std::vector<std::size_t>{0, 1, 2}));
    hosts.back()->start(program);
  }
  if (!rig::wait_ready(hosts, 15)) {
    record.say("the hosts did not become ready");
    return 2;
  }
  rig::sleep_s(4);
  if (trouble) {
    store.put("op/config", config("00000009", true));
    record.say("the store acknowledges a version that adds a public route to trial.example");
  }
  rig::sleep_s(4);

  std::map<std::string, std::map<int, int>> answers;  // By kind of request, then status.
  int without_key_run = 0;
  int with_key_served = 0;
  for (int n = 0; n < 20; ++n) {
    for (std::size_t h = 0; h < hosts.size(); ++h) {
      for (const std::string key : {"", "key-that-no-config-held", "key-of-forwarder"}) {
        const std::string id = std::to_string(h) + "." + std::to_string(n) + "." +
                               (key.empty() ? "no-key" : key);
        record.line("sent %s to host %zu", id.c_str(), h);
        const rig::message reply = rig::call(
            hosts[h]->ip(), site.front,
            rig::request_text("POST", "bookings.example", "/commit/7", id, 2000,
                              key.empty() ? "" : "Authorization: Bearer " + key + "\r\n", "lane 7"),
            2.5);
        record.line("answer %s %d", id.c_str(), reply.status());
        ++answers[key.empty() ? "without a key" : key][reply.status()];
        const std::lock_guard guard(mutex);
        const bool run = runs.contains(id);
        with_key_served += key == "key-of-forwarder" && run;
        without_key_run += key != "key-of-forwarder" && run;
      }
    }
    rig::sleep_s(request_pause_s);
  }
  for (const auto& [kind, statuses] : answers) {
    for (const auto& [status, count] : statuses) {
      record.say("bookings.example, " + kind + ": status " + std::to_string(status) + " " +
                 std::to_string(count) + " times");
    }
  }
  bool all_run = true;
  for (const auto& one : hosts) {
    all_run = all_run && one->running();
  }
  hosts.clear();
  if (!all_run || with_key_served == 0) {
    record.say("the case could not run");
    return 2;
  }
  record.say("requests of a route that is not public, without a key that a config holds, that ran: " +
             std::to_string(without_key_run));
  record.say(without_key_run > 0 ? "ROUTE is broken" : "ROUTE held");
  return without_key_run > 0 ? 1 : 0;
}
