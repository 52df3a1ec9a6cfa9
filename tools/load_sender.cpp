#include "load_sender.hpp"

#include <unistd.h>

#include <thread>

#include "catkintack/net/headers.hpp"

namespace catkintack::tools {
namespace {

namespace headers = net::headers;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int status_ok = 200;
constexpr time_t response_timeout_seconds = 10;
constexpr time_t repeating_response_timeout_seconds = 3;
constexpr const char* repeating_time_left_ms = "2000";
constexpr milliseconds repeat_delay{100};

std::unique_ptr<httplib::Client> make_client(const base::address& address, time_t timeout_seconds) {
  auto client = std::make_unique<httplib::Client>(address.ip, address.port);
  client->set_tcp_nodelay(true);
  client->set_keep_alive(true);
  client->set_connection_timeout(1);
  client->set_read_timeout(timeout_seconds);
  return client;
}

}  // namespace

void load_counts::add(const load_counts& other) {
  sent += other.sent;
  answers += other.answers;
  not_run += other.not_run;
  unknown += other.unknown;
  cut += other.cut;
  cut_once += other.cut_once;
  repeated += other.repeated;
  wrong_body += other.wrong_body;
  no_target += other.no_target;
  latencies_us.insert(latencies_us.end(), other.latencies_us.begin(), other.latencies_us.end());
  not_run_ids.insert(not_run_ids.end(), other.not_run_ids.begin(), other.not_run_ids.end());
}

load_sender::load_sender(load_options& options, int index) : options_(options), index_(index) {
  const time_t timeout_seconds =
      options.repeats > 0 ? repeating_response_timeout_seconds : response_timeout_seconds;
  for (const auto& entry : options.targets) {
    clients_.push_back(make_client(entry->callers, timeout_seconds));
    tokens_.emplace_back();
  }
}

void load_sender::run(clock_type::time_point start) {
  const auto interval = microseconds(std::chrono::seconds(1)) / options_.rate_per_second;
  const int total = options_.rate_per_second * options_.seconds;
  for (int number = index_; number < total; number += options_.threads) {
    const auto due = start + interval * number;
    std::this_thread::sleep_until(due);
    send(number, due);
  }
}

int load_sender::choose_target(int number) const {
  const int size = static_cast<int>(options_.targets.size());
  for (int step = 0; step < size; ++step) {
    const int candidate = (number + step) % size;
    if (options_.targets[candidate]->ready) {
      return candidate;
    }
  }
  return -1;
}

void load_sender::send(int number, clock_type::time_point due) {
  ++counts_.sent;
  const int chosen = choose_target(number);
  if (chosen < 0) {
    ++counts_.no_target;
    return;
  }
  if (tokens_[chosen].empty() && !fetch_token(chosen)) {
    ++counts_.not_run;
    return;
  }
  const std::string suffix = std::to_string(::getpid()) + "-" + std::to_string(number);
  const std::string id = tokens_[chosen] + "." + suffix;
  const std::string body = "load " + std::to_string(number);
  request_outcome result = send_once(chosen, id, body);
  for (int repeat = 1; repeat <= options_.repeats; ++repeat) {
    const int other = choose_target(chosen + repeat);
    if (other < 0 || (result != request_outcome::cut && result != request_outcome::unknown)) {
      break;
    }
    std::this_thread::sleep_for(repeat_delay);
    ++counts_.repeated;
    result = send_once(other, id, body);
  }
  record_outcome(result, due);
}

load_sender::request_outcome load_sender::send_once(int chosen,
                                                    const std::string& id,
                                                    const std::string& body) {
  httplib::Request request;
  request.method = options_.method;
  request.path = options_.path;
  request.set_header(headers::request_id, id);
  request.set_header(headers::api_key, options_.key);
  if (options_.repeats > 0) {
    request.set_header(headers::time_left, repeating_time_left_ms);
  }
  request.body = body;
  const auto result = clients_[chosen]->send(request);
  if (!result) {
    tokens_[chosen].clear();
    const bool repeating = options_.repeats > 0;
    const bool refused = result.error() == httplib::Error::Connection ||
                         result.error() == httplib::Error::ConnectionTimeout;
    counts_.cut_once += refused ? 0 : 1;
    return refused && !repeating ? request_outcome::not_run : request_outcome::cut;
  }
  tokens_[chosen] = result->get_header_value(headers::token);
  const std::string outcome = result->get_header_value(headers::outcome);
  if (outcome == "answer") {
    const bool wrong = result->body != "answer to " + id + ": " + body;
    counts_.wrong_body += result->status == status_ok && wrong ? 1 : 0;
    return request_outcome::answer;
  }
  if (outcome == "not_run") {
    counts_.not_run_ids.push_back(id);
    return request_outcome::not_run;
  }
  return request_outcome::unknown;
}

bool load_sender::fetch_token(int chosen) {
  const auto result = clients_[chosen]->Options("/");
  if (result) {
    tokens_[chosen] = result->get_header_value(headers::token);
  }
  return !tokens_[chosen].empty();
}

void load_sender::record_outcome(request_outcome result, clock_type::time_point due) {
  switch (result) {
    case request_outcome::answer:
      ++counts_.answers;
      counts_.latencies_us.push_back(
          std::chrono::duration_cast<microseconds>(clock_type::now() - due).count());
      return;
    case request_outcome::not_run:
      ++counts_.not_run;
      return;
    case request_outcome::unknown:
      ++counts_.unknown;
      return;
    case request_outcome::cut:
      ++counts_.cut;
      return;
  }
}

}  // namespace catkintack::tools
