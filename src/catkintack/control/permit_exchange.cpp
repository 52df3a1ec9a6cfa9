#include "catkintack/control/permit_exchange.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "catkintack/control/message_channel.hpp"

namespace catkintack::control {
namespace {

// Wait of a refusal by an authority that does not know the upstream yet.
constexpr base::duration unknown_upstream_wait = std::chrono::milliseconds(500);
constexpr base::request_rate unlimited(std::numeric_limits<double>::infinity());
constexpr base::duration max_wait = std::chrono::minutes(10);
// Upstreams above this number are forgotten; each then starts with a full interval.
constexpr std::size_t max_reservations = 10000;

}  // namespace

permit_exchange::permit_exchange(boost::asio::io_context& io,
                                 serving::traffic_state& state,
                                 permit_exchange_options options)
    : state_(state), options_(std::move(options)), channel_(io, state, "permit") {}

boost::system::error_code permit_exchange::open() {
  return channel_.open(options_.self,
                       [this](const auto& bytes, const auto& sender) { receive(bytes, sender); });
}

bool permit_exchange::is_authority() const {
  return std::ranges::find(options_.authorities, options_.self) != options_.authorities.end();
}

void permit_exchange::set_authorities(std::vector<base::address> authorities) {
  if (authorities == options_.authorities) {
    return;
  }
  if (!is_authority()) {
    // What an earlier time as an authority left says nothing about the grants since.
    reservations_ = limits::send_reservations();
  }
  const auto former = std::exchange(options_.authorities, std::move(authorities));
  state_.permits.set_authority_count(options_.authorities.size());
  std::string names;
  for (std::size_t i = 0; i < options_.authorities.size(); ++i) {
    if (i < former.size() && former[i] != options_.authorities[i]) {
      state_.permits.replace_authority(i);
    }
    names += (i == 0 ? "" : " ") + base::to_string(options_.authorities[i]);
  }
  state_.log.write("permit_authorities_changed", {{"authorities", names}});
}

void permit_exchange::request(const base::upstream_id& upstream) {
  const base::instant now = state_.clock();
  const auto limit = state_.send_limit_of(upstream);
  const auto authority =
      limit ? state_.permits.ask(upstream, limit->rate, now, limit->cause) : std::nullopt;
  if (!limit || !authority) {
    return;
  }
  state_.metrics.add("permit_requests_total");
  permit_message message{.kind = permit_message_kind::request,
                         .upstream = upstream,
                         .report = make_limit_report(state_, upstream),
                         .asked_at_us = now.time_since_epoch().count()};
  if (limit->cause == choice::limit_cause::warming_up) {
    message.warm_up_rate = limit->rate;
  }
  if (options_.authorities[*authority] == options_.self) {
    apply_reply(answer(message, base::to_string(options_.self)), *authority);
  } else {
    send(message, options_.authorities[*authority]);
  }
}

void permit_exchange::report(const base::upstream_id& upstream) {
  const permit_message message{.kind = permit_message_kind::report,
                               .upstream = upstream,
                               .report = make_limit_report(state_, upstream)};
  for (const base::address& authority : options_.authorities) {
    if (authority != options_.self) {
      send(message, authority);
    }
  }
}

permit_message permit_exchange::answer(const permit_message& request, const std::string& host) {
  const base::instant now = state_.clock();
  permit_message reply{.kind = permit_message_kind::reply,
                       .upstream = request.upstream,
                       .report = make_limit_report(state_, request.upstream),
                       .asked_at_us = request.asked_at_us,
                       .wait_us = unknown_upstream_wait.count()};
  const auto known = state_.send_limit_of(request.upstream);
  if (const auto limit = choice::limit_of_request(known, request.warm_up_rate)) {
    if (reservations_.size() > max_reservations) {
      reservations_ = limits::send_reservations();
    }
    const double usable = options_.usable_share();
    if (usable <= 0) {
      state_.metrics.add("permits_refused_total");
      return reply;
    }
    const base::request_rate share(usable * limit->rate.per_second() /
                                   static_cast<double>(options_.authorities.size()));
    const bool cold = limit->cause == choice::limit_cause::warming_up;
    const limits::send_reservation reserved =
        cold ? reservations_.reserve_now(request.upstream, share, now)
             : reservations_.reserve(request.upstream, share, now);
    reply.warm_up_rate = cold ? std::optional(limit->rate) : std::nullopt;
    reply.granted = reserved.granted;
    // The share may grow again long before the next send at the present rate.
    const bool ask_soon = !reserved.granted && usable < 1;
    reply.wait_us =
        (ask_soon ? std::min(reserved.wait, unknown_upstream_wait) : reserved.wait).count();
    state_.metrics.add(reserved.granted ? "permits_granted_total" : "permits_refused_total");
    if (reserved.granted) {
      state_.log.write("permit_granted", {{"upstream", request.upstream.value()},
                                          {"host", host},
                                          {"per_second", base::to_string(limit->rate)},
                                          {"cold", cold ? 1 : 0},
                                          {"wait_us", reserved.wait.count()}});
    }
  }
  return reply;
}

void permit_exchange::apply_reply(const permit_message& reply, std::size_t authority) {
  if (reply.wait_us < 0 || reply.wait_us > max_wait.count()) {
    state_.log.write("permit_message_refused",
                     {{"upstream", reply.upstream.value()}, {"why", "the wait is out of range"}});
    return;
  }
  const base::instant asked_at{base::duration(reply.asked_at_us)};
  const base::duration wait(reply.wait_us);
  const auto limit = state_.send_limit_of(reply.upstream);
  // An authority of an older build gives out sends at the rate that the upstream named, if any.
  const bool too_fast = limit && limit->cause == choice::limit_cause::warming_up &&
                        reply.warm_up_rate.value_or(unlimited) > limit->rate;
  if (reply.granted && too_fast) {
    state_.metrics.add("permits_ignored_total");
    state_.permits.on_refused(reply.upstream, authority, asked_at, unknown_upstream_wait);
  } else if (reply.granted) {
    state_.permits.on_granted(reply.upstream, authority, asked_at, wait);
  } else {
    state_.permits.on_refused(reply.upstream, authority, asked_at, wait);
  }
}

void permit_exchange::handle(const permit_message& message, const base::address& from) {
  const std::string source = base::to_string(from);
  if (message.report) {
    apply_limit_report(state_, *message.report, source);
  }
  if (message.kind == permit_message_kind::reply) {
    const auto authority = std::ranges::find(options_.authorities, from);
    if (authority != options_.authorities.end()) {
      apply_reply(message, static_cast<std::size_t>(authority - options_.authorities.begin()));
    }
  } else if (message.kind == permit_message_kind::request && is_authority()) {
    send(answer(message, source), from);
  }
}

void permit_exchange::send(const permit_message& message, const base::address& target) {
  channel_.send(encode(message), target);
}

void permit_exchange::receive(const std::string& bytes, const base::address& sender) {
  if (const auto message = decode<permit_message>(bytes)) {
    handle(*message, sender);
  } else {
    state_.log.write("permit_message_refused",
                     {{"host", sender.ip}, {"why", "malformed, or of another version"}});
  }
}

}  // namespace catkintack::control
