// A long request body in chunks, and servers that turn part of their requests away. Checks that each
// request that runs has the body that its client sent.
#include "../rig/rig.h"

using namespace rig;

namespace {

constexpr int servers = 14;
constexpr int grey_servers = 2;            // srv_grey: share (.15).
constexpr double share_turned_away = 0.4;  // srv_grey: x (.4) of their requests.
constexpr std::size_t body_bytes = 400000;
constexpr int clients = 6;
constexpr int requests_per_client = 60;

struct Sent {
  std::size_t bytes;
  std::uint64_t hash;
};
std::mutex mutex;
std::map<std::string, Sent> sent;
int ran_changed = 0, ran = 0, ran_twice = 0;
std::map<std::string, int> runs;
std::map<int, int> answers;

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = parse_arguments(argc, argv);
  Site site(arguments.program, arguments.directory);
  site.add_hosts(3);
  for (int i = 0; i < servers; ++i) {
    Server& server = site.add_server("kayit", i);
    if (trouble() && i < grey_servers) {
      server.verdict = [](const Message&) {
        static std::mutex guard;
        static std::mt19937 random(1);
        std::lock_guard lock(guard);
        return std::uniform_real_distribution<>(0, 1)(random) < share_turned_away
                   ? Server::Verdict::shed
                   : Server::Verdict::run;
      };
    }
    server.on_run = [](const Server& where, const Message& request) {
      const std::string id = request.header("Catkintack-Request-Id");
      std::lock_guard lock(mutex);
      ++ran;
      ran_twice += ++runs[id] == 2 ? 1 : 0;
      const auto found = sent.find(id);
      const bool changed = found == sent.end() || found->second.bytes != request.body.size() ||
                           found->second.hash != hash_of(request.body);
      ran_changed += changed ? 1 : 0;
      record.line("%s runs %s: body of %zu bytes, %s", where.options.id.c_str(), id.c_str(),
                  request.body.size(), changed ? "NOT the one that was sent" : "as sent");
    };
  }
  site.open_servers();
  site.store.put("op/config", Config(7)
                                  .service("kayit")
                                  .route("jepu9.example", "/puka111/", "kayit", "unsafe", "5000ms",
                                         "800ms")
                                  .text());
  if (!site.start()) {
    record.line("a host did not become ready");
    return 2;
  }

  std::vector<std::thread> threads;
  for (int i = 0; i < clients; ++i) {
    threads.emplace_back([&, i] {
      std::mt19937 random(static_cast<unsigned>(100 + i));
      const Host& host = site.deployment.hosts[static_cast<std::size_t>(i % 3)];
      for (int n = 0; n < requests_per_client; ++n) {
        Request request;
        request.method = "POST";
        request.host = "jepu9.example";
        request.target = "/puka111/" + std::to_string(i) + "-" + std::to_string(n);
        request.id = random_id();
        request.deadline_ms = 5000;
        request.chunked = true;
        request.body.resize(body_bytes);
        for (char& c : request.body) c = static_cast<char>('a' + random() % 26);
        {
          std::lock_guard lock(mutex);
          sent[request.id] = {request.body.size(), hash_of(request.body)};
        }
        record.line("client %d sends %s to %s: chunked body of %zu bytes", i, request.id.c_str(),
                    host.name.c_str(), request.body.size());
        int status = 0;
        if (const auto connection = connect_to(host.ip, host.callers))
          if (const auto answer = exchange(*connection, request)) status = answer->status();
        record.line("client %d gets %d for %s", i, status, request.id.c_str());
        std::lock_guard lock(mutex);
        ++answers[status];
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  site.deployment.stop_all();
  std::lock_guard lock(mutex);
  for (const auto& [status, count] : answers) record.line("answers with status %d: %d", status, count);
  record.line("requests sent %zu, runs %d, runs with a changed body %d, run twice %d", sent.size(), ran,
              ran_changed, ran_twice);
  std::printf("requests %zu, runs %d, runs with a changed body %d\n", sent.size(), ran, ran_changed);
  if (answers[200] == 0) return 2;
  std::fflush(nullptr);
  std::_Exit(ran_changed > 0 ? 1 : 0);
}
