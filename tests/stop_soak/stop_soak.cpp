// Planned stops of gateway processes while callers use kept and new connections. Checks that no
// call at which an upstream is at work is cut or answered by a host in the upstream's place.
//
// usage: stop_soak PROGRAM FOLDER RECORD   (environment: SEED, RUN_SECONDS)
// Exits with 1 if a check failed, with 2 if the run gave nothing.
#include <algorithm>
#include <array>

#include "review/rig/rig.h"

namespace {

using rig::now_s;
using rig::sleep_ms;

constexpr double grace_s = 6;         // From SIGTERM to SIGKILL.
constexpr double loss_slack_s = 0.2;  // A request that is closed this soon was not read.
constexpr double excused_sent_s = 3;  // Calls sent up to now after SIGTERM may outlast the grace.
constexpr double excused_work_s = 5;  // Their upstream must still be at work this long after it.
constexpr double time_limit_slack_s = 0.1;
constexpr std::size_t host_count = 3;
constexpr int servers_per_service = 6;
constexpr std::size_t callers_per_host = 12;
constexpr std::size_t caller_count = host_count * callers_per_host;

/// A request that an upstream ran.
struct run {
  double began = 0;
  double ends = 0;
  bool repeatable = false;
};

/// What the callers, the upstreams and the operator saw.
struct observations {
  std::mutex mutex;
  std::map<std::string, std::vector<run>> runs;  // By request id.
  std::set<std::string> not_run;                 // Requests that were refused as not run.
  int answered = 0;
  int refused = 0;
  int timed_out = 0;
  int failed = 0;  // Own answers and closed connections without an upstream at work.
  int excused = 0;
  int lost = 0;
  int unread = 0;  // Closed before the request was read.
  int doubled = 0;
  int untrue_refusals = 0;
  int killed = 0;  // Hosts that did not exit by themselves.
};

/// The stop of each host: the time of its last SIGTERM.
class stops {
 public:
  stops() {
    for (auto& one : at_) {
      one = never;
    }
  }
  void begin(std::size_t host) { at_.at(host) = now_s(); }
  /// Seconds from the last SIGTERM to a time, or -1 if the time is a second before it or earlier.
  double since(std::size_t host, double when) const { return std::max(when - at_.at(host), -1.0); }

 private:
  static constexpr double never = 1e9;
  std::array<std::atomic<double>, host_count> at_;
};

struct route_kind {
  const char* path;
  long deadline_ms;
};
constexpr std::array<route_kind, 3> kinds = {
    {{"/reads/", 3000}, {"/audits/", 10000}, {"/orders/", 3000}}};

rig::Config make_config(std::uint64_t version, int extra_routes) {
  rig::Config config(version);
  config.service("reads").service("orders");
  config.route("a.example", "/reads/", "reads", "safe", "3000ms", "200ms", 3);
  config.route("a.example", "/audits/", "reads", "safe", "10000ms", "600ms", 3);
  config.route("a.example", "/orders/", "orders", "unsafe", "3000ms", "250ms", 3);
  for (int i = 0; i < extra_routes; ++i) {
    config.route("a.example", "/more" + std::to_string(i) + "/", "reads", "safe", "3000ms",
                 "200ms");
  }
  return config;
}

/// Work of the upstreams: usual, slow or nearly silent by turns.
class upstream_work {
 public:
  upstream_work(std::uint64_t seed, observations& seen) : random_(seed), seen_(seen) {}

  /// Time that a run takes in addition to the usual work of its server, in ms.
  double extra_work_ms(const rig::Server& server) {
    std::lock_guard lock(mutex_);
    phase& now = phases_[server.options.id];
    if (now_s() > now.until) {
      constexpr std::array<double, 8> works = {0, 0, 0, 30, 30, 250, 900, 2600};
      now.extra_ms = works.at(random_() % works.size());
      now.until = now_s() + 0.5 + static_cast<double>(random_() % 2000) / 1000;
    }
    return now.extra_ms;
  }
  void on_run(const rig::Server& server, const rig::Message& request) {
    const double extra = extra_work_ms(server);
    {
      std::lock_guard lock(seen_.mutex);
      const double began = now_s();
      seen_.runs[request.header("Catkintack-Request-Id")].push_back(
          {began, began + (extra + server.options.work_ms) / 1000,
           !request.second.starts_with("/orders/")});
    }
    sleep_ms(extra);
  }

 private:
  struct phase {
    double until = 0;
    double extra_ms = 0;
  };
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::map<std::string, phase> phases_;
  observations& seen_;
};

/// One call and how it ended.
struct ended_call {
  std::string id;
  route_kind kind;
  std::size_t host;
  double sent = 0;
  double ended = 0;
  int status = 0;  // 0: no complete answer.
  bool by_upstream = false;
};

void report_lost(const ended_call& call, const run& at_work, const stops& stopped) {
  rig::record.line(
      "LOST %s %s host %zu sent %.3f ended %.3f (%.3f after SIGTERM) status %d; upstream "
      "began %.3f ends %.3f",
      call.id.c_str(), call.kind.path, call.host, call.sent, call.ended,
      stopped.since(call.host, call.ended), call.status, at_work.began, at_work.ends);
}

/// Judges a call without an answer of an upstream.
void judge_unanswered(const ended_call& call, observations& seen, const stops& stopped) {
  const std::vector<run>& runs = seen.runs[call.id];
  const auto at_work =
      std::ranges::find_if(runs, [&](const run& one) { return one.began < call.ended; });
  const double limit_s = static_cast<double>(call.kind.deadline_ms) / 1000;
  if (call.ended - call.sent >= limit_s - time_limit_slack_s) {
    ++seen.timed_out;
  } else if (at_work == runs.end()) {
    const bool unread = call.status == 0 && call.ended - call.sent <= loss_slack_s;
    ++(unread ? seen.unread : seen.failed);
    if (call.status == 0 && !unread) {
      ++seen.lost;
      rig::record.line(
          "LOST %s %s host %zu: not passed on, closed %.3f s after it was sent, %.3f "
          "after SIGTERM",
          call.id.c_str(), call.kind.path, call.host, call.ended - call.sent,
          stopped.since(call.host, call.ended));
    }
  } else if (stopped.since(call.host, call.sent) <= excused_sent_s &&
             stopped.since(call.host, at_work->ends) >= excused_work_s &&
             stopped.since(call.host, call.ended) >= excused_work_s) {
    ++seen.excused;
    rig::record.line("excused %s %s sent %.3f after SIGTERM", call.id.c_str(), call.kind.path,
                     stopped.since(call.host, call.sent));
  } else {
    ++seen.lost;
    report_lost(call, *at_work, stopped);
  }
}

void judge(const ended_call& call, observations& seen, const stops& stopped) {
  std::lock_guard lock(seen.mutex);
  if (call.status != 0 && call.by_upstream) {
    ++seen.answered;
  } else if (call.status == 503 || call.status == 429) {
    ++seen.refused;
    seen.not_run.insert(call.id);
  } else {
    judge_unanswered(call, seen, stopped);
  }
}

/// A caller that stays on its connection for as long as the host keeps it, or takes a new one for
/// each call.
class caller {
 public:
  caller(rig::Site& site, observations& seen, stops& stopped, std::uint64_t seed)
      : site_(site), seen_(seen), stopped_(stopped), random_(seed), keeps_(seed % 3 != 0) {}

  void run(std::size_t first_host, double until) {
    host_ = first_host;
    while (now_s() < until) {
      if (!connection_ || !keeps_) {
        connect();
      }
      if (connection_) {
        send_one();
      }
      sleep_ms(static_cast<double>(10 + random_() % 220));
    }
  }

 private:
  void connect() {
    const rig::Host& host = site_.deployment.hosts[host_];
    connection_ = rig::connect_to(host.ip, host.callers, 300);
    if (!connection_) {
      host_ = (host_ + 1) % host_count;
    }
  }
  void send_one() {
    rig::Request request;
    const route_kind kind = kinds.at(random_() % kinds.size());
    request.host = "a.example";
    request.target = std::string(kind.path) + std::to_string(random_() % 1000);
    request.id = rig::random_id();
    request.deadline_ms = kind.deadline_ms;
    ended_call call{request.id, kind, host_, now_s()};
    const auto answer = rig::exchange(*connection_, request);
    call.ended = now_s();
    const bool complete = answer && answer->complete;
    call.status = complete ? answer->status() : 0;
    // The servers of the stand-ins answer with the request's id, and no host does.
    call.by_upstream =
        complete && answer->status() == 200 && answer->body == "done " + request.id + "\n";
    judge(call, seen_, stopped_);
    if (!complete || rig::iequal(answer->header("Connection"), "close")) {
      connection_ = nullptr;
    }
  }

  rig::Site& site_;
  observations& seen_;
  stops& stopped_;
  std::mt19937_64 random_;
  bool keeps_;
  std::size_t host_ = 0;
  std::unique_ptr<rig::Connection> connection_;
};

/// Stops hosts, one or two at a time, and starts each again when it has ended.
class stopper {
 public:
  stopper(rig::Site& site, observations& seen, stops& stopped)
      : site_(site), seen_(seen), stopped_(stopped) {}

  /// Sends SIGTERM to a host and starts it again when it has exited.
  void restart(std::size_t index) {
    rig::Host& host = site_.deployment.hosts[index];
    stopped_.begin(index);
    const double began = now_s();
    rig::record.line("%s gets SIGTERM", host.name.c_str());
    ::kill(host.pid, SIGTERM);
    while (!start_again_if_ended(host, began)) {
      sleep_ms(5);
    }
  }
  /// Sends SIGHUP to a host.
  void hang_up(std::size_t index) {
    const std::lock_guard lock(processes_);
    ::kill(site_.deployment.hosts[index].pid, SIGHUP);
  }
  /// Restarts the given hosts in turn. Two threads must not share a host.
  void run(std::uint64_t seed, const std::vector<std::size_t>& hosts, double until) {
    std::mt19937_64 random(seed);
    for (std::size_t next = 0; now_s() + grace_s < until; ++next) {
      const std::size_t index = hosts[next % hosts.size()];
      sleep_ms(static_cast<double>(300 + random() % 1500));
      restart(index);
      while (!site_.deployment.ready(site_.deployment.hosts[index]) && now_s() < until) {
        sleep_ms(20);
      }
    }
    // A host is killed when the thread that started it ends.
    callers_ended_.wait(false);
  }
  /// Lets the threads of run() end.
  void on_callers_ended() {
    callers_ended_ = true;
    callers_ended_.notify_all();
  }

 private:
  bool start_again_if_ended(rig::Host& host, double stop_began) {
    const std::lock_guard lock(processes_);
    int status = 0;
    if (!site_.deployment.ended(host, status)) {
      if (now_s() <= stop_began + grace_s) {
        return false;
      }
      const std::lock_guard counts(seen_.mutex);
      ++seen_.killed;
      ::kill(host.pid, SIGKILL);
      ::waitpid(host.pid, &status, 0);
    }
    rig::record.line("%s ended %.3f s after SIGTERM", host.name.c_str(), now_s() - stop_began);
    site_.deployment.start(host, false);
    return true;
  }

  rig::Site& site_;
  observations& seen_;
  stops& stopped_;
  std::mutex processes_;  // Held while the process id of a host is used or changes.
  std::atomic<bool> callers_ended_ = false;
};

/// SIGHUPs, changes of the configuration, and upstreams that are drained and return.
void apply_changes(rig::Site& site, stopper& stopping, std::uint64_t seed, double until) {
  std::mt19937_64 random(seed);
  std::uint64_t version = 8;
  while (now_s() < until) {
    sleep_ms(static_cast<double>(100 + random() % 900));
    switch (random() % 3) {
      case 0:
        stopping.hang_up(random() % host_count);
        break;
      case 1:
        site.store.put("op/config", make_config(version, static_cast<int>(version % 3)).text());
        ++version;
        break;
      default: {
        const rig::Server& server = *site.servers[random() % site.servers.size()];
        site.store.put(server.key(), server.entry("draining"));
        sleep_ms(2500);
        site.store.put(server.key(), server.entry());
        break;
      }
    }
  }
}

void count_broken_promises(observations& seen) {
  for (const auto& [id, runs] : seen.runs) {
    if (runs.empty() || runs.front().repeatable) {
      continue;
    }
    if (seen.not_run.contains(id)) {
      ++seen.untrue_refusals;
      rig::record.line("REFUSED %s has run", id.c_str());
    }
    if (runs.size() > 1) {
      ++seen.doubled;
      rig::record.line("TWICE %s", id.c_str());
    }
  }
}

int report(observations& seen, std::uint64_t seed) {
  std::lock_guard lock(seen.mutex);
  count_broken_promises(seen);
  std::printf(
      "seed %llu: answered %d, refused %d, timed out %d, failed %d, unread %d, excused %d, "
      "lost %d, run twice %d, untrue refusals %d, killed %d\n",
      static_cast<unsigned long long>(seed), seen.answered, seen.refused, seen.timed_out,
      seen.failed, seen.unread, seen.excused, seen.lost, seen.doubled, seen.untrue_refusals,
      seen.killed);
  if (seen.answered == 0) {
    return 2;
  }
  return seen.lost + seen.doubled + seen.untrue_refusals + seen.killed > 0 ? 1 : 0;
}

double number_from(const char* variable, double otherwise) {
  const char* const value = std::getenv(variable);
  return value == nullptr ? otherwise : std::strtod(value, nullptr);
}

}  // namespace

int main(int argc, char** argv) {
  const rig::Arguments arguments = rig::parse_arguments(argc, argv);
  const auto seed = static_cast<std::uint64_t>(number_from("SEED", 1));
  const double seconds = number_from("RUN_SECONDS", 30);
  observations seen;
  stops stopped;
  upstream_work work(seed, seen);
  rig::Site site(arguments.program, arguments.directory);
  site.add_hosts(static_cast<int>(host_count));
  for (int i = 0; i < 2 * servers_per_service; ++i) {
    rig::Server& server = site.add_server(i % 2 == 0 ? "reads" : "orders", i / 2, 2, 2, 40);
    server.on_run = [&](const rig::Server& where, const rig::Message& request) {
      work.on_run(where, request);
    };
  }
  site.open_servers();
  site.store.put("op/config", make_config(7, 0).text());
  if (!site.start()) {
    std::printf("a host did not become ready\n");
    return 2;
  }
  const double until = now_s() + seconds;
  std::vector<std::thread> callers;
  callers.reserve(caller_count);
  for (std::size_t i = 0; i < caller_count; ++i) {
    callers.emplace_back([&, i] {
      caller one(site, seen, stopped, seed * 1000 + i);
      one.run(i % host_count, until);
    });
  }
  sleep_ms(2000);
  stopper stopping(site, seen, stopped);
  std::vector<std::thread> threads;
  threads.reserve(3);
  threads.emplace_back([&] { stopping.run(seed * 7 + 1, {0, 2}, until); });
  threads.emplace_back([&] { stopping.run(seed * 7 + 2, {1}, until); });
  threads.emplace_back([&] { apply_changes(site, stopping, seed * 7 + 3, until); });
  for (std::thread& one : callers) {
    one.join();
  }
  stopping.on_callers_ended();
  for (std::thread& one : threads) {
    one.join();
  }
  site.deployment.stop_all();
  const int status = report(seen, seed);
  std::fflush(nullptr);
  std::_Exit(status);
}
