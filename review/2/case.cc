// A planned stop of each host in turn. Clients send on kept connections between 3.0 and 3.2 s after
// SIGTERM. Checks that each request that a server was given ends with a complete answer.
#include "../rig/rig.h"

using namespace rig;

namespace {

constexpr double grace_s = 6;
// An ordinary long run: 550 ms of work on a machine that is four times as slow at this moment, as the
// fourth figure of the server's load says, with some spread.
constexpr double work_ms = 2900;
constexpr int clients = 15;             // Each with a kept connection.
constexpr double first_sent_s = 3.02;   // After SIGTERM.
constexpr double last_sent_s = 3.16;
constexpr double unexcused_after_s = 3;  // A request that was sent later is not excused.

std::mutex mutex;
std::map<std::string, double> began;  // Request id and when a server began to work on it.

struct Outcome {
  int passed_on = 0, lost = 0, answered = 0, refused = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = parse_arguments(argc, argv);
  Site site(arguments.program, arguments.directory);
  site.add_hosts(3);
  for (int i = 0; i < 12; ++i) {
    Server& server = site.add_server("audit", i, 2, 4, work_ms);
    server.on_run = [](const Server& where, const Message& request) {
      const std::string id = request.header("Catkintack-Request-Id");
      std::lock_guard lock(mutex);
      began[id] = now_s();
      record.line("%s begins to work on %s", where.options.id.c_str(), id.c_str());
    };
  }
  site.open_servers();
  site.store.put("op/config", Config(7)
                                  .service("audit")
                                  .route("jepu9.example", "/audit/", "audit", "safe", "10000ms",
                                         "1500ms")
                                  .text());
  if (!site.start()) {
    record.line("a host did not become ready");
    return 2;
  }
  sleep_ms(4000);  // All hosts are in touch.

  Outcome total;
  for (Host& host : site.deployment.hosts) {
    std::vector<std::unique_ptr<Connection>> connections;
    for (int i = 0; i < clients; ++i)
      connections.push_back(connect_to(host.ip, host.callers));
    sleep_ms(200);
    const double stopped_at = now_s();
    if (trouble()) {
      ::kill(host.pid, SIGTERM);
      record.line("%s gets SIGTERM", host.name.c_str());
    }
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
      threads.emplace_back([&, i] {
        const double at = first_sent_s + (last_sent_s - first_sent_s) * i / (clients - 1);
        Request request;
        request.host = "jepu9.example";
        request.target = "/audit/" + std::to_string(i);
        request.id = random_id();
        request.deadline_ms = 10000;
        sleep_ms((stopped_at + at - now_s()) * 1000);
        const double sent_at = now_s();
        record.line("client %d sends %s to %s, %.3f s after SIGTERM", i, request.id.c_str(),
                    host.name.c_str(), sent_at - stopped_at);
        Connection& connection = *connections[static_cast<std::size_t>(i)];
        const bool sent = connection.send(request.head());
        const auto answer = sent ? connection.read(11000, true) : std::nullopt;
        std::lock_guard lock(mutex);
        const bool passed_on = began.contains(request.id);
        const bool complete = answer && answer->complete;
        record.line("client %d: %s %s, %.3f s after SIGTERM%s", i, request.id.c_str(),
                    complete ? ("is answered " + answer->second).c_str()
                             : "ends without a complete answer",
                    now_s() - stopped_at, passed_on ? ", a server was at work on it" : "");
        total.passed_on += passed_on ? 1 : 0;
        total.answered += complete && passed_on ? 1 : 0;
        total.refused += complete && !passed_on ? 1 : 0;
        total.lost +=
            passed_on && !complete && sent_at - stopped_at > unexcused_after_s ? 1 : 0;
      });
    }
    std::thread killer([&] {
      if (!trouble()) return;
      int status = 0;
      while (now_s() < stopped_at + grace_s && !site.deployment.ended(host, status)) sleep_ms(5);
      if (now_s() >= stopped_at + grace_s) {
        ::kill(host.pid, SIGKILL);
        ::waitpid(host.pid, &status, 0);
      }
      record.line("%s has ended %.3f s after SIGTERM with %s %d", host.name.c_str(),
                  now_s() - stopped_at, WIFSIGNALED(status) ? "signal" : "code",
                  WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
      host.pid = -1;
    });
    killer.join();
    for (std::thread& thread : threads) thread.join();
    if (trouble()) {
      connections.clear();
      site.deployment.start(host, false);
      if (!site.deployment.wait_until_ready()) return 2;
      sleep_ms(3500);
    }
  }
  site.deployment.stop_all();
  record.line("passed on to a server %d: answered %d, ended without an answer %d; not passed on, "
              "refused %d",
              total.passed_on, total.answered, total.lost, total.refused);
  std::printf("passed on %d, answered %d, lost %d, refused %d\n", total.passed_on, total.answered,
              total.lost, total.refused);
  std::fflush(nullptr);
  std::_Exit(total.passed_on + total.refused == 0 ? 2 : total.lost > 0 ? 1 : 0);
}
