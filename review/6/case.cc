// RECOVER: all machines lose power and the three seeds never come back. The hosts that start again
// find no authority for the usage caps of tenants, and refuse all requests of tenants for good.
#include "../rig-2/rig.h"

namespace {

constexpr int rate_per_s = 100;
constexpr int burst = 100;
constexpr double recovery_s = 15;
constexpr double seed_lag_s = 3;
constexpr double restart_s = 1;
constexpr double before_s = 8;
constexpr double judged_s = 12;
constexpr int callers_per_host = 2;
constexpr double caller_pause_s = 0.25;  // In all less than half of the tenant's rate.

struct outcome {
  double sent = 0;
  int status = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
  const std::string program = argc > 1 ? argv[1] : "target/platform/catkintackd-platform";
  rig::record_file record(argc > 2 ? argv[2] : "record.txt");

  rig::site site;
  for (int i = 0; i < 6; ++i) {
    site.host_ips.push_back("127.0.5." + std::to_string(11 + i));
    site.zones.push_back("zone-" + std::to_string(1 + i % 3));
  }
  site.regions = {{"zone-1", "east"}, {"zone-2", "east"}, {"zone-3", "east"}};
  site.quota = "window = 5s\novershoot = 0.1\nslack = 20\n";
  rig::choose_ports(site);
  const std::string platform_ip = "127.0.5.1";
  const int store_port = rig::free_port({platform_ip});
  site.store_address = platform_ip + ":" + std::to_string(store_port);

  rig::store store(platform_ip, store_port);
  store.put("op/config",
            rig::json{
                {"version", "00000007"},
                {"services", {{{"name", "bookdesk"}, {"health-path", "/health"}, {"max-connections", 500}}}},
                {"limits",
                 {{"max-header-bytes", 16384},
                  {"max-body-bytes", 1048576},
                  {"header-timeout", "3000ms"},
                  {"idle-timeout", "15000ms"}}},
                {"tenants",
                 {{{"name", "forwarder"},
                   {"api-keys", {"key-of-forwarder"}},
                   {"rate-per-s", rate_per_s},
                   {"burst", burst},
                   {"priority", 1}}}},
                {"virtual-hosts",
                 {{{"host", "bookings.example"},
                   {"paths",
                    {{{"name", "r-commit"},
                      {"prefix", "/commit/"},
                      {"kind", "unsafe"},
                      {"timeout", "2000ms"},
                      {"target-latency", "500ms"},
                      {"priority", 1},
                      {"service", "bookdesk"},
                      {"max-attempts", 2}}}}}}}}
                .dump());
  std::vector<std::unique_ptr<rig::endpoint>> endpoints;
  for (int i = 0; i < 6; ++i) {
    const std::string ip = "127.0.5." + std::to_string(31 + i);
    endpoints.push_back(std::make_unique<rig::endpoint>(
        store,
        rig::endpoint_options{.id = "i-" + std::to_string(i),
                              .service = "bookdesk",
                              .zone = "zone-" + std::to_string(1 + i % 3),
                              .ip = ip,
                              .port = rig::free_port({ip}),
                              .slots = 16,
                              .work_s = 0.01},
        [&](rig::endpoint& self, const rig::message& request) {
          const std::string id = request.header("catkintack-request-id");
          record.line("run %s at %s", id.c_str(), self.options.id.c_str());
          return "booked " + id;
        }));
  }
  std::vector<std::unique_ptr<rig::host>> hosts;
  const std::vector<std::size_t> first_seeds = {0, 1, 2};
  for (std::size_t i = 0; i < site.host_ips.size(); ++i) {
    hosts.push_back(std::make_unique<rig::host>(site, i, true, first_seeds));
    hosts.back()->start(program);
  }
  if (!rig::wait_ready(hosts, 15)) {
    record.say("the hosts did not become ready");
    return 2;
  }
  rig::sleep_s(3.5);

  // Requesters are sent to the hosts that are there, as the platform's balancer does.
  std::vector<std::size_t> in_use = {0, 1, 2, 3, 4, 5};
  std::mutex mutex;
  std::vector<outcome> outcomes;
  std::atomic<bool> over = false;
  std::atomic<bool> dark = false;
  std::vector<std::thread> callers;
  for (std::size_t c = 0; c < callers_per_host * site.host_ips.size(); ++c) {
    callers.emplace_back([&, c] {
      for (int n = 0; !over; ++n) {
        rig::sleep_s(caller_pause_s);
        if (dark) {
          continue;
        }
        std::size_t h = 0;
        {
          const std::lock_guard guard(mutex);
          h = in_use[c % in_use.size()];
        }
        const std::string id = std::to_string(c) + "." + std::to_string(n);
        outcome one{.sent = rig::now_s()};
        record.line("sent %s to host %zu", id.c_str(), h);
        one.status = rig::call(site.host_ips[h], site.front,
                               rig::request_text("POST", "bookings.example", "/commit/7", id, 2000,
                                                 "Authorization: Bearer key-of-forwarder\r\n",
                                                 "lane 7"),
                               2.5)
                         .status();
        record.line("answer %s %d", id.c_str(), one.status);
        const std::lock_guard guard(mutex);
        outcomes.push_back(one);
      }
    });
  }
  rig::sleep_s(before_s);

  dark = true;
  const double fault_at = rig::now_s();
  for (const auto& one : hosts) {
    one->kill();
  }
  record.say("all machines lose power");
  rig::sleep_s(restart_s);
  const std::size_t first = trouble ? 3 : 0;
  for (std::size_t i = first; i < hosts.size(); ++i) {
    hosts[i]->write_settings(false, first_seeds);
    hosts[i]->start(program);
  }
  if (trouble) {
    const std::lock_guard guard(mutex);
    in_use = {3, 4, 5};
  }
  const double back_at = rig::now_s();
  dark = false;
  record.say(trouble ? "hosts 3 to 5 are back; the seeds, hosts 0 to 2, never come back"
                     : "all hosts are back");
  rig::sleep_s(seed_lag_s);
  if (trouble) {
    for (std::size_t i = first; i < hosts.size(); ++i) {
      hosts[i]->write_settings(false, {3, 4, 5});
      hosts[i]->signal(SIGHUP);
    }
    record.say("the settings of hosts 3 to 5 name them as seeds; SIGHUP to each");
  }
  rig::sleep_until_s(back_at + recovery_s + judged_s);
  int ready = 0;
  bool all_run = true;
  for (std::size_t i = first; i < hosts.size(); ++i) {
    ready += hosts[i]->ready();
    all_run = all_run && hosts[i]->running();
  }
  over = true;
  for (std::thread& one : callers) {
    one.join();
  }
  hosts.clear();

  const auto count = [&](double from, double to, bool served) {
    return std::ranges::count_if(outcomes, [&](const outcome& one) {
      return one.sent >= from && one.sent < to && (!served || one.status == 200);
    });
  };
  const auto before = count(0, fault_at - 1, false);
  const auto served_before = count(0, fault_at - 1, true);
  const auto after = count(back_at + recovery_s, 1e9, false);
  const auto served_after = count(back_at + recovery_s, 1e9, true);
  std::map<int, int> statuses;
  for (const outcome& one : outcomes) {
    if (one.sent >= back_at + recovery_s) {
      ++statuses[one.status];
    }
  }
  record.say("before the fault: " + std::to_string(served_before) + " of " +
             std::to_string(before) + " served");
  record.say("later than recovery after the machines are back: " + std::to_string(served_after) +
             " of " + std::to_string(after) + " served");
  for (const auto& [status, number] : statuses) {
    record.say("  status " + std::to_string(status) + ": " + std::to_string(number));
  }
  record.say("hosts that say they are ready: " + std::to_string(ready));
  if (!all_run || after < 20 || served_before * 4 < before) {
    record.say("the case could not run");
    return 2;
  }
  const bool broken = served_after * 4 < after;
  record.say(broken ? "RECOVER is broken" : "RECOVER held");
  return broken ? 1 : 0;
}
