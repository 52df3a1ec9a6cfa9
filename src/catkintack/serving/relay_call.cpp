#include "catkintack/serving/relay_call.hpp"

#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <set>
#include <string>
#include <utility>

#include "catkintack/serving/call_residence.hpp"
#include "catkintack/serving/exchange.hpp"
#include "catkintack/serving/status.hpp"
#include "catkintack/serving/stop_check.hpp"
#include "catkintack/serving/upstream_connection.hpp"

namespace catkintack::serving {
namespace {

constexpr int max_hosts_per_call = 3;
// How long after the beginning of the isolation calls wait for the first offer of a host.
constexpr base::duration max_wait_for_offer = std::chrono::milliseconds(150);
constexpr base::duration offer_poll_interval = std::chrono::milliseconds(5);
// Retry-After if no host is available. The links are checked, and hosts asked, at such intervals.
constexpr base::duration retry_after_no_host = std::chrono::milliseconds(500);

/// @brief Id under which connections to a host are pooled, and its sends counted.
base::upstream_id pool_id(const base::address& host) {
  return base::upstream_id("relay/" + base::to_string(host));
}

base::duration parse_retry_after(const http::fields& headers) {
  const std::string_view text = to_string_view(headers[http::field::retry_after]);
  double seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  constexpr double max_seconds = 1e6;
  if (error != std::errc{} || seconds < 0 || seconds > max_seconds) {
    return {};
  }
  return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

/// @brief One call on its way through other hosts.
class relayed_call {
 public:
  relayed_call(traffic_state& state,
               asio::any_io_executor executor,
               std::shared_ptr<call> served,
               bool may_have_run)
      : state_(state),
        executor_(std::move(executor)),
        served_(std::move(served)),
        may_have_run_(may_have_run),
        allowed_(residence_of(*served_)),
        allowed_text_(format_relay_regions(allowed_)) {}

  asio::awaitable<call_result> run() {
    if (!served_->has_customer_rules) {
      // The other host may know customers already, and takes the header for this host's word.
      served_->headers.erase(state_.options.protocol.customer);
    }
    // A call whose regions cannot be stated to another host is not relayed.
    for (int left = allowed_text_ ? max_hosts_per_call : 0;
         left > 0 && served_->can_be_sent() && !served_->caller_left; --left) {
      const auto host = co_await choose_host();
      if (!host) {
        break;
      }
      tried_.insert(*host);
      auto connection = co_await connect(*host);
      if (!connection) {
        state_.relays.on_failure(*host, state_.clock());
        log(*host, "no connection");
        continue;
      }
      if (!ends_before_stop(state_, *served_)) {
        state_.pool.release(std::move(connection), state_.clock());
        refuse(std::string(refused_for_stop), state_.options.placement.min_retry_after);
        co_return std::move(result_);
      }
      const bool final = co_await send(*host, std::move(connection));
      if (final) {
        co_return std::move(result_);
      }
    }
    if (!served_->caller_left) {
      not_taken_ = true;
      if (allowed_.restricted()) {
        state_.metrics.add("residence_refusals_total{reason=\"no_host\"}");
        state_.log.write("no_allowed_relay_host",
                         {{"request", served_->id}, {"regions", describe(allowed_)}});
      }
      refuse(allowed_.restricted() ? "not run: this host reaches no upstream, and no host in a "
                                     "region that may serve it takes it\n"
                                   : "not run: this host reaches no upstream\n",
             retry_after_no_host);
    }
    co_return std::move(result_);
  }

  /// @brief Whether no host took the call.
  bool not_taken() const { return not_taken_; }

 private:
  asio::awaitable<std::optional<base::address>> choose_host() {
    const auto load = [&](const base::address& host) {
      return static_cast<std::size_t>(state_.in_flight.count(pool_id(host)));
    };
    const base::instant until = state_.isolation.isolated_since() + max_wait_for_offer;
    asio::steady_timer timer(executor_);
    for (;;) {
      auto host = state_.relays.choose(state_.clock(), tried_, load, state_.random, allowed_);
      if (host || !tried_.empty() || state_.clock() >= until || served_->caller_left) {
        co_return host;
      }
      timer.expires_after(offer_poll_interval);
      co_await timer.async_wait(no_throw);
    }
  }

  asio::awaitable<std::unique_ptr<upstream_connection>> connect(base::address host) {
    const base::upstream_id id = pool_id(host);
    if (auto idle = state_.pool.take(id, state_.clock())) {
      co_return std::move(idle);
    }
    auto [connection, error] =
        co_await connect_upstream(executor_, host, id, state_.options.remote_probe_timeout);
    co_return std::move(connection);
  }

  /// @return Whether the result is final; otherwise the host did not run the call.
  asio::awaitable<bool> send(base::address host, std::unique_ptr<upstream_connection> connection) {
    const base::upstream_id id = pool_id(host);
    const base::instant started_at = state_.clock();
    result_.diagnostics.held = started_at - served_->arrived;
    ++result_.diagnostics.attempts;
    constexpr std::size_t max_buffered_response = 64U << 10U;
    state_.in_flight.begin(id, started_at);
    served_->relay_regions = allowed_text_.value_or("");
    exchange_result attempt =
        co_await exchange(std::move(connection), *served_, state_.options.protocol,
                          served_->deadline - started_at, max_buffered_response);
    served_->relay_regions.clear();
    state_.in_flight.end(id, started_at);
    log(host, attempt.detail.empty() ? to_text(attempt.outcome) : attempt.detail);
    state_.metrics.add("relayed_calls_total{outcome=\"" + std::string(to_text(attempt.outcome)) +
                       "\"}");
    if (!attempt.body_parser && attempt.connection) {
      state_.pool.release(std::move(attempt.connection), state_.clock());
    }
    co_return handle(host, std::move(attempt));
  }

  bool handle(const base::address& host, exchange_result attempt) {
    if (served_->caller_left) {
      return true;
    }
    switch (attempt.outcome) {
      case exchange_outcome::answered:
      case exchange_outcome::failed:
        state_.relays.on_success(host, state_.clock());
        result_.upstream_response = std::move(attempt);
        return true;
      case exchange_outcome::not_run:
        if (attempt.status == status::misdirected) {
          state_.relays.on_refusal(host);
          return false;
        }
        refuse("not run: no upstream can serve it now\n", parse_retry_after(attempt.headers));
        return true;
      case exchange_outcome::timed_out:
        answer(status::gateway_timeout, "no answer within the time allowed\n", {});
        return true;
      case exchange_outcome::may_have_run:
        if (attempt.connection_lost) {
          state_.relays.on_failure(host, state_.clock());
        }
        answer(attempt.status == status::gateway_timeout ? status::gateway_timeout
                                                         : status::bad_gateway,
               "no whole answer from an upstream\n", {});
        return true;
      case exchange_outcome::caller_left:
        return true;
    }
    return true;
  }

  void refuse(std::string reason, base::duration retry_after) {
    if (may_have_run_) {
      answer(status::bad_gateway, "no whole answer from an upstream\n", {});
    } else {
      answer(status::unavailable, std::move(reason), retry_after);
    }
  }

  void answer(unsigned code, std::string reason, base::duration retry_after) {
    result_.local = local_response{.status = code,
                                   .body = std::move(reason),
                                   .retry_after = retry_after,
                                   .request_id_header = state_.options.protocol.request_id,
                                   .request_id = served_->id};
  }

  void log(const base::address& host, std::string_view outcome) {
    result_.diagnostics.relay = base::to_string(host);
    state_.log.write("call_relayed", {{"request", served_->id},
                                      {"host", base::to_string(host)},
                                      {"outcome", std::string(outcome)},
                                      {"held_us", result_.diagnostics.held.count()}});
  }

  traffic_state& state_;
  asio::any_io_executor executor_;
  std::shared_ptr<call> served_;
  bool may_have_run_;
  choice::residence allowed_;
  std::optional<std::string> allowed_text_;
  std::set<base::address> tried_;
  call_result result_;
  bool not_taken_ = false;
};

}  // namespace

asio::awaitable<relay_result> relay_call(traffic_state& state,
                                         asio::any_io_executor executor,
                                         std::shared_ptr<call> served,
                                         bool may_have_run) {
  relayed_call relayed(state, std::move(executor), std::move(served), may_have_run);
  relay_result result;
  result.result = co_await relayed.run();
  result.taken = !relayed.not_taken();
  co_return std::move(result);
}

}  // namespace catkintack::serving
