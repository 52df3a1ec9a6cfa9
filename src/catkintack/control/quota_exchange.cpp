#include "catkintack/control/quota_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "catkintack/control/message_channel.hpp"
#include "catkintack/serving/status.hpp"
#include "catkintack/serving/task.hpp"

namespace catkintack::control {
namespace {

namespace asio = boost::asio;
using serving::no_throw;

constexpr base::duration maintenance_interval = std::chrono::milliseconds(50);
constexpr base::duration max_wait = std::chrono::seconds(10);
// Lost heartbeats make single hosts missing for a moment; changes are logged at most this often.
constexpr base::duration min_log_interval = std::chrono::seconds(1);

/// @brief Keeps the timer of a call in the list of waiting calls.
class waiting_entry {
 public:
  using list = std::multimap<base::customer_id, asio::steady_timer*>;
  waiting_entry(list& all, const base::customer_id& customer, asio::steady_timer& timer)
      : all_(all), position_(all.emplace(customer, &timer)) {}
  waiting_entry(const waiting_entry&) = delete;
  waiting_entry& operator=(const waiting_entry&) = delete;
  waiting_entry(waiting_entry&&) = delete;
  waiting_entry& operator=(waiting_entry&&) = delete;
  ~waiting_entry() { all_.erase(position_); }

 private:
  list& all_;
  list::iterator position_;
};

std::uint64_t make_run(const base::random_hook& random) {
  const std::uint64_t run = random();
  return run == 0 ? 1 : run;
}

limits::quota_lease lease_in(const quota_message& message) {
  return {.run = message.lease_run,
          .sent_at = base::instant(base::duration(message.lease_sent_us)),
          .share = message.lease_share,
          .host_count = message.host_count};
}

void put_lease(const limits::quota_lease& lease, quota_message& message) {
  message.lease_run = lease.run;
  message.lease_sent_us = lease.sent_at.time_since_epoch().count();
  message.lease_share = lease.share;
  message.host_count = lease.host_count;
}

bool is_valid_reply(const quota_message& reply) {
  const auto in_range = [](std::int64_t wait) { return wait >= 0 && wait <= max_wait.count(); };
  return in_range(reply.wait_us) && in_range(reply.retry_after_us) && reply.lease_share >= 0 &&
         reply.lease_share <= 1 && reply.lease_run.value() != 0;
}

const char* reason_of(limits::quota_outcome outcome) {
  switch (outcome) {
    case limits::quota_outcome::above_cap:
      return "the customer is above its cap";
    case limits::quota_outcome::above_share:
      return "the customer is above this host's share of its cap; no authority answers";
    case limits::quota_outcome::unknown_customer:
      return "the customer is not yet known to the authorities for its cap";
    case limits::quota_outcome::no_authority:
      return "no authority for the customer's cap answers";
    case limits::quota_outcome::granted:
    case limits::quota_outcome::granted_detached:
      break;
  }
  return "";
}

const char* label_of(limits::quota_outcome outcome) {
  switch (outcome) {
    case limits::quota_outcome::above_cap:
      return "above_cap";
    case limits::quota_outcome::above_share:
      return "above_share";
    case limits::quota_outcome::unknown_customer:
      return "unknown_customer";
    case limits::quota_outcome::no_authority:
      return "no_authority";
    case limits::quota_outcome::granted:
      return "authority";
    case limits::quota_outcome::granted_detached:
      return "own_share";
  }
  return "";
}

}  // namespace

quota_exchange::quota_exchange(asio::io_context& io,
                               serving::traffic_state& state,
                               quota_exchange_options options)
    : state_(state),
      options_(std::move(options)),
      io_(io),
      channel_(io, state, "quota"),
      client_({.bounds = options_.bounds}, state.random),
      timer_(io) {}

boost::system::error_code quota_exchange::open() {
  const auto error = channel_.open(
      options_.self, [this](const auto& bytes, const auto& sender) { receive(bytes, sender); });
  if (!error) {
    serving::spawn_service(io_.get_executor(), state_.log, "quota_maintenance",
                           [this] { return run(); });
  }
  return error;
}

std::optional<std::uint32_t> quota_exchange::counted_hosts() const {
  return pool_ ? std::optional(static_cast<std::uint32_t>(pool_->host_count())) : std::nullopt;
}

double quota_exchange::usable_share() {
  // Without customers, hosts send no heartbeats by which shares could be reserved.
  const bool counts_hosts = pool_ && state_.table && state_.table->has_customers();
  return counts_hosts ? 1 - pool_->reserved(state_.clock()) : 1;
}

void quota_exchange::adopt(const quota_record& record) {
  if (record.authorities < authorities_ || record.authorities.holders.empty()) {
    return;
  }
  recorded_hosts_ = record.host_count;
  if (record.authorities == authorities_) {
    return;
  }
  const limits::quota_authorities former = std::exchange(authorities_, record.authorities);
  const std::vector<base::address>& holders = authorities_.holders;
  client_.set_authority_count(holders.size());
  for (std::size_t slot = 0; slot < std::min(holders.size(), former.holders.size()); ++slot) {
    if (holders[slot] != former.holders[slot]) {
      client_.replace_authority(slot);
      // The former holder must stop giving out tokens, and may not have received the change.
      send_authorities(former.holders[slot]);
    }
  }
  std::string names;
  for (const base::address& holder : holders) {
    names += (names.empty() ? "" : " ") + base::to_string(holder);
  }
  state_.log.write("quota_authorities_changed",
                   {{"epoch", authorities_.epoch}, {"holders", names}});
  start_or_end_slot(former.epoch > 0, record.host_count);
  on_authorities_changed_();
  for (const base::address& asker : std::exchange(askers_, {})) {
    send_authorities(asker);
  }
  std::vector<base::customer_id> waiting;
  for (const auto& [customer, timer] : waiting_) {
    if (waiting.empty() || waiting.back() != customer) {
      waiting.push_back(customer);
    }
  }
  for (const base::customer_id& customer : waiting) {
    advance(customer);
  }
}

void quota_exchange::start_or_end_slot(bool knew_others, std::uint32_t recorded_hosts) {
  if (std::ranges::find(authorities_.holders, options_.self) == authorities_.holders.end()) {
    pool_.reset();
    return;
  }
  if (pool_) {
    return;
  }
  limits::quota_pool_options options{.authority_count = authorities_.holders.size(),
                                     .run = base::incarnation(make_run(state_.random)),
                                     .bounds = options_.bounds};
  if (knew_others) {
    // The slot had another holder, which may still give out tokens to hosts that reach it.
    constexpr base::duration margin = std::chrono::milliseconds(300);
    options.inherited_hosts = recorded_hosts;
    options.handover_time = options.missing_after + margin;
  }
  pool_ = std::make_unique<limits::quota_pool>(options, state_.clock());
}

void quota_exchange::send_authorities(const base::address& host) {
  if (host != options_.self) {
    channel_.send(encode(quota_message{.kind = quota_message_kind::authorities,
                                       .host_count = recorded_hosts_,
                                       .epoch = authorities_.epoch,
                                       .holders = authorities_.holders}),
                  host);
  }
}

void quota_exchange::query_seeds() {
  if (state_.table && !state_.table->has_customers()) {
    return;
  }
  bool all_reachable = authorities_.epoch > 0;
  for (std::size_t slot = 0; slot < authorities_.holders.size(); ++slot) {
    all_reachable = all_reachable && !client_.is_unreachable(slot);
  }
  const base::instant now = state_.clock();
  const base::duration interval =
      authorities_.epoch == 0 ? options_.first_query_interval : options_.query_interval;
  if (all_reachable || (queried_at_ != base::instant::min() && now - queried_at_ < interval)) {
    return;
  }
  queried_at_ = now;
  std::ranges::for_each(seeds_, [this](const base::address& seed) { send_authorities(seed); });
}

void quota_exchange::receive_authorities(const quota_message& message,
                                         const base::address& sender) {
  constexpr std::size_t max_holders = 16;
  constexpr std::uint32_t max_hosts = 10000;
  const bool valid = message.holders.size() <= max_holders && message.host_count <= max_hosts &&
                     (message.epoch > 0) == !message.holders.empty() &&
                     std::ranges::all_of(message.holders, [](const base::address& holder) {
                       return base::parse_address(base::to_string(holder)).has_value();
                     });
  if (!valid) {
    log_refused_message(sender, "the authorities are malformed");
    return;
  }
  const limits::quota_authorities received{message.epoch, message.holders};
  constexpr std::size_t max_askers = 1024;
  if (received < authorities_) {
    send_authorities(sender);
  } else if (received.epoch == 0) {
    if (askers_.size() < max_askers) {
      askers_.insert(sender);
    }
  } else {
    adopt({.authorities = received, .host_count = std::max(message.host_count, recorded_hosts_)});
  }
}

void quota_exchange::compare_epochs(const quota_message& message, const base::address& sender) {
  // An older build sends no epoch, and would refuse the authorities.
  if (message.epoch > 0 && message.epoch != authorities_.epoch) {
    send_authorities(sender);
  }
}

asio::awaitable<void> quota_exchange::run() {
  for (;;) {
    maintain();
    timer_.expires_after(maintenance_interval);
    auto [error] = co_await timer_.async_wait(no_throw);
    if (error) {
      co_return;
    }
  }
}

asio::awaitable<serving::quota_decision> quota_exchange::admit(
    const routes::customer_policy& customer) {
  if (customer.rate_per_second <= 0) {
    co_return serving::quota_decision{};
  }
  const base::customer_id id = customer.id;
  const limits::quota_client::ticket ticket = client_.submit(customer, state_.clock());
  advance(id);
  asio::steady_timer timer(io_);
  const waiting_entry entry(waiting_, id, timer);
  for (;;) {
    if (const auto verdict = client_.take_verdict(ticket)) {
      co_return decide(id, *verdict);
    }
    const base::instant now = state_.clock();
    timer.expires_after(client_.next_event(id, now) - now);
    auto [cancelled] = co_await timer.async_wait(no_throw);
    if (!cancelled) {
      advance(id);
    }
  }
}

void quota_exchange::advance(const base::customer_id& customer) {
  for (bool answered = true; answered;) {
    answered = false;
    const base::instant now = state_.clock();
    for (const limits::quota_request& request : client_.advance(customer, now)) {
      state_.metrics.add("quota_requests_total");
      answered = send_to_authority({.kind = quota_message_kind::request,
                                    .customer = customer,
                                    .wanted = request.wanted,
                                    .refused_before = request.refused_before,
                                    .asked_at_us = now.time_since_epoch().count()},
                                   request.authority) ||
                 answered;
    }
  }
  const auto [first, last] = waiting_.equal_range(customer);
  for (auto one = first; one != last; ++one) {
    one->second->cancel();
  }
}

/// @return Whether the answer was applied immediately.
bool quota_exchange::send_to_authority(quota_message message, std::size_t authority) {
  put_lease(client_.lease_of(authority), message);
  message.epoch = authorities_.epoch;
  if (authorities_.holders[authority] != options_.self) {
    channel_.send(encode(message), authorities_.holders[authority]);
    return false;
  }
  apply_reply(answer(message, options_.self), authority);
  return true;
}

quota_message quota_exchange::answer(const quota_message& message, const base::address& host) {
  const base::instant now = state_.clock();
  pool_->on_message(host, lease_in(message), now);
  quota_message reply{.kind = quota_message_kind::reply,
                      .customer = message.customer,
                      .asked_at_us = message.asked_at_us,
                      .epoch = authorities_.epoch};
  put_lease(pool_->lease(host, now), reply);
  if (message.kind != quota_message_kind::request) {
    return reply;
  }
  const routes::customer_policy* const policy =
      state_.table ? state_.table->find_customer(message.customer) : nullptr;
  if (policy == nullptr) {
    reply.unknown_customer = true;
  } else if (policy->rate_per_second <= 0) {
    reply.granted = message.wanted;  // The configuration in force here has no cap.
  } else {
    const limits::quota_grant grant =
        pool_->take(*policy, message.wanted, message.refused_before, now);
    reply.granted = grant.granted;
    reply.wait_us = grant.wait.count();
    reply.retry_after_us = grant.retry_after.count();
    reply.tokens_left = grant.tokens_left;
    state_.metrics.add("quota_tokens_granted_total", grant.granted);
    state_.metrics.add("quota_tokens_refused_total", message.wanted - grant.granted);
  }
  return reply;
}

void quota_exchange::apply_reply(const quota_message& reply, std::size_t authority) {
  const base::instant now = state_.clock();
  const base::instant asked_at{base::duration(reply.asked_at_us)};
  if (client_.on_lease(authority, asked_at, lease_in(reply), now)) {
    // Confirms the lease of a new run of the authority, which reserves a share until then.
    send_to_authority({.asked_at_us = now.time_since_epoch().count()}, authority);
  }
  if (reply.customer.value().empty()) {
    return;
  }
  if (reply.unknown_customer) {
    client_.on_unknown(authority, reply.customer, asked_at, now);
  } else {
    client_.on_grant(authority, reply.customer, asked_at,
                     {.granted = reply.granted,
                      .wait = base::duration(reply.wait_us),
                      .retry_after = base::duration(reply.retry_after_us),
                      .tokens_left = reply.tokens_left},
                     now);
  }
}

void quota_exchange::handle_reply(const quota_message& reply, const base::address& from) {
  const auto authority = std::ranges::find(authorities_.holders, from);
  if (authority == authorities_.holders.end()) {
    state_.metrics.add("quota_late_replies_total");  // Of a host that was an authority before.
    return;
  }
  if (!is_valid_reply(reply)) {
    log_refused_message(from, "a value is out of range");
    return;
  }
  apply_reply(reply, static_cast<std::size_t>(authority - authorities_.holders.begin()));
  log_attachment();
  advance(reply.customer);
}

void quota_exchange::receive(const std::string& bytes, const base::address& sender) {
  const auto message = decode<quota_message>(bytes);
  if (!message) {
    log_refused_message(sender, "malformed, or of another version");
    return;
  }
  if (message->kind == quota_message_kind::authorities) {
    receive_authorities(*message, sender);
    return;
  }
  compare_epochs(*message, sender);
  if (message->kind == quota_message_kind::reply) {
    handle_reply(*message, sender);
  } else if (!is_authority()) {
    log_refused_message(sender, "this host is no authority");
  } else if (message->kind == quota_message_kind::leave) {
    pool_->on_leave(sender);
    state_.log.write("quota_host_left", {{"host", base::to_string(sender)}});
  } else if (message->kind == quota_message_kind::heartbeat ||
             message->kind == quota_message_kind::request) {
    channel_.send(encode(answer(*message, sender)), sender);
  } else {
    log_refused_message(sender, "unknown kind");
  }
}

void quota_exchange::log_refused_message(const base::address& host, const char* why) {
  state_.metrics.add("quota_messages_refused_total");
  state_.log.write("quota_message_refused", {{"host", base::to_string(host)}, {"why", why}});
}

serving::quota_decision quota_exchange::decide(const base::customer_id& customer,
                                               const limits::quota_verdict& verdict) {
  if (verdict.admitted()) {
    state_.metrics.add("quota_calls_admitted_total{by=\"" + std::string(label_of(verdict.outcome)) +
                       "\"}");
    return {};
  }
  state_.metrics.add("quota_calls_refused_total{why=\"" + std::string(label_of(verdict.outcome)) +
                     "\"}");
  state_.log.write(
      "call_refused_by_cap",
      {{"customer", customer.value()},
       {"why", label_of(verdict.outcome)},
       {"wait_us", verdict.retry_after.count()},
       {"authority", verdict.authority && *verdict.authority < authorities_.holders.size()
                         ? base::to_string(authorities_.holders[*verdict.authority])
                         : ""},
       {"tokens", std::to_string(verdict.tokens_left)}});
  const bool above = verdict.outcome == limits::quota_outcome::above_cap ||
                     verdict.outcome == limits::quota_outcome::above_share;
  return {.admitted = false,
          .status = above ? serving::status::too_many_requests : serving::status::unavailable,
          .retry_after = verdict.retry_after,
          .reason = reason_of(verdict.outcome)};
}

void quota_exchange::maintain() {
  query_seeds();
  if (!state_.table || !state_.table->has_customers()) {
    return;
  }
  const base::instant now = state_.clock();
  for (const std::size_t authority : client_.heartbeats_due(now)) {
    send_to_authority({.asked_at_us = now.time_since_epoch().count()}, authority);
  }
  log_attachment();
  if (is_authority()) {
    log_reservation();
  }
  state_.metrics.add("quota_tokens_expired_total", client_.expired_tokens() - counted_expired_);
  counted_expired_ = client_.expired_tokens();
}

void quota_exchange::log_attachment() {
  const bool now_detached = detached();
  if (now_detached == was_detached_) {
    return;
  }
  was_detached_ = now_detached;
  state_.metrics.set("quota_detached", now_detached ? 1 : 0);
  state_.log.write(now_detached ? "quota_detached" : "quota_attached",
                   {{"authorities", authorities_.holders.size()},
                    {"share", std::to_string(client_.own_share(state_.clock()))}});
}

void quota_exchange::log_reservation() {
  const base::instant now = state_.clock();
  const double reserved = pool_->reserved(now);
  state_.metrics.set("quota_hosts", static_cast<double>(pool_->host_count()));
  state_.metrics.set("quota_hosts_missing", static_cast<double>(pool_->missing_count()));
  state_.metrics.set("quota_reserved_share", reserved);
  const bool recent =
      missing_logged_at_ != base::instant::min() && now - missing_logged_at_ < min_log_interval;
  if (pool_->missing_count() == logged_missing_ || recent) {
    return;
  }
  logged_missing_ = pool_->missing_count();
  missing_logged_at_ = now;
  state_.log.write("quota_share_reserved", {{"hosts_missing", logged_missing_},
                                            {"hosts", pool_->host_count()},
                                            {"share", std::to_string(reserved)}});
}

void quota_exchange::leave() {
  for (const base::address& authority : authorities_.holders) {
    if (authority != options_.self) {
      channel_.send(
          encode(quota_message{.kind = quota_message_kind::leave, .epoch = authorities_.epoch}),
          authority);
    }
  }
}

}  // namespace catkintack::control
