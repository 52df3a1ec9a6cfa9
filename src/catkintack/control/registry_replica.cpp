#include "catkintack/control/registry_replica.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace catkintack::control {

registry_replica::registry_replica(serving::traffic_state& state, replica_options options)
    : state_(state), options_(options) {}

void registry_replica::apply_table(routes::route_table table, std::string_view source) {
  const std::uint64_t current_version = state_.table ? state_.table->version().value() : 0;
  const std::uint64_t offered_version = table.version().value();
  if (offered_version <= current_version) {
    return;
  }
  state_.log.write("routes_adopted", {{"version", offered_version},
                                      {"before", current_version},
                                      {"routes", table.routes().size()},
                                      {"source", std::string(source)}});
  state_.table = std::make_shared<const routes::route_table>(std::move(table));
  state_.metrics.set("routes_version", static_cast<double>(offered_version));
}

void registry_replica::apply_routes(change_batch& batch, std::string_view source) {
  const auto before = state_.table;
  if (batch.table) {
    apply_table(*batch.table, source);
    const bool newer = before && batch.table->version() > before->version();
    auto delta = newer ? routes::find_difference(*before, *batch.table) : std::nullopt;
    // A change of most routes is as large as the table, and the table applies to any version.
    if (delta &&
        (delta->changed.size() + delta->removed.size()) * 2 < batch.table->routes().size()) {
      batch.table_delta = std::move(delta);
      batch.table.reset();
    }
  } else if (batch.table_delta) {
    newest_table_version_ = std::max(newest_table_version_, batch.table_delta->version.value());
    auto table = before ? routes::apply_difference(*before, *batch.table_delta) : std::nullopt;
    if (table) {
      apply_table(std::move(*table), source);
    }
  }
}

bool registry_replica::lacks_table() const {
  return newest_table_version_ > (state_.table ? state_.table->version().value() : 0);
}

void registry_replica::put(const directory::endpoint& upstream, std::string_view source) {
  const auto* const known = state_.upstreams.find(upstream.record.id);
  if (known != nullptr && known->listed.run < upstream.run) {
    state_.pauses.forget(upstream.record.id);
    state_.upstream_limits.forget(upstream.record.id);
    state_.permits.forget(upstream.record.id);
  }
  if (state_.upstreams.upsert(upstream, state_.clock())) {
    state_.log.write("upstream_changed", {{"upstream", upstream.record.id.value()},
                                          {"service", upstream.record.service.value()},
                                          {"address", base::to_string(upstream.record.where)},
                                          {"run", upstream.run.value()},
                                          {"leaving", upstream.record.leaving ? 1 : 0},
                                          {"warm_up_left_us", upstream.warm_up_left.count()},
                                          {"source", std::string(source)}});
  }
}

base::instant registry_replica::removal_deadline() const {
  const base::instant earliest = state_.clock() + options_.removal_grace;
  if (!registry_reachable_ || recovered_at_ == base::instant::min()) {
    return earliest;
  }
  return std::max(earliest, recovered_at_ + options_.recovery_grace);
}

void registry_replica::remove(const base::upstream_id& id, std::string_view source) {
  state_.upstreams.expire_at(id, removal_deadline());
  state_.log.write("upstream_removed", {{"upstream", id.value()}, {"source", std::string(source)}});
}

void registry_replica::notify_change() const {
  if (on_change_) {
    on_change_();
  }
}

void registry_replica::apply_crashes(const change_batch& batch) {
  if (batch.crashes.empty() && batch.cleared_requests.empty()) {
    return;
  }
  for (const choice::crash_record& entry : batch.crashes) {
    state_.crashes.put(entry);
  }
  for (const base::request_fingerprint& request : batch.cleared_requests) {
    state_.crashes.remove(request);
  }
  state_.notify_crashes_changed();
}

void registry_replica::apply_evacuations(const change_batch& batch, std::string_view source) {
  for (const base::failure_domain_id& domain : batch.evacuations_begun) {
    if (state_.upstreams.begin_evacuation(domain)) {
      log_evacuation("evacuation_began", domain, source);
    }
  }
  for (const base::failure_domain_id& domain : batch.evacuations_ended) {
    if (state_.upstreams.end_evacuation(domain)) {
      log_evacuation("evacuation_ended", domain, source);
    }
  }
}

void registry_replica::replace_evacuations(const std::set<base::failure_domain_id>& listed,
                                           bool restored,
                                           std::string_view source) {
  const std::set<base::failure_domain_id> before = state_.upstreams.evacuations();
  const base::instant now = state_.clock();
  // The operators write again what a restored registry has lost.
  state_.upstreams.replace_evacuations(listed, now,
                                       restored ? now + options_.evacuation_grace : now);
  for (const base::failure_domain_id& domain : listed) {
    if (!before.contains(domain)) {
      log_evacuation("evacuation_began", domain, source);
    }
  }
  for (const base::failure_domain_id& domain : before) {
    if (!listed.contains(domain)) {
      log_evacuation(restored ? "evacuation_unconfirmed" : "evacuation_ended", domain, source);
    }
  }
}

void registry_replica::log_evacuation(std::string_view event,
                                      const base::failure_domain_id& domain,
                                      std::string_view source) {
  state_.log.write(std::string(event),
                   {{"failure_domain", domain.value()}, {"source", std::string(source)}});
  state_.metrics.set("evacuated_failure_domains",
                     static_cast<double>(state_.upstreams.evacuations().size()));
}

bool registry_replica::apply(const change_batch& batch, std::string_view source) {
  const bool spans_restore = batch.base_revision.era != batch.revision.era;
  if (spans_restore || batch.base_revision > revision_) {
    return false;
  }
  newest_table_version_ = std::max(newest_table_version_, batch.announced_table_version);
  change_batch relayed = batch;
  if (batch.revision > revision_ || lacks_table()) {
    apply_routes(relayed, source);
  }
  if (batch.revision <= revision_) {
    return true;
  }
  for (const directory::endpoint& upstream : batch.changed) {
    put(upstream, source);
  }
  for (const base::upstream_id& id : batch.removed) {
    remove(id, source);
  }
  apply_crashes(batch);
  apply_evacuations(batch, source);
  revision_ = batch.revision;
  changes_.append(std::move(relayed));
  if (!batch.empty()) {
    notify_change();
  }
  return true;
}

bool registry_replica::apply_snapshot(registry_snapshot snapshot, std::string_view source) {
  newest_table_version_ = std::max(newest_table_version_, snapshot.announced_table_version);
  if (snapshot.table && (snapshot.revision > revision_ || lacks_table())) {
    apply_table(std::move(*snapshot.table), source);
  }
  if (snapshot.revision <= revision_) {
    return false;
  }
  using listing_kind = directory::endpoint_directory::listing_kind;
  const bool restored = has_state() && snapshot.revision.era > revision_.era;
  if (restored) {
    on_registry_restored(snapshot.revision, source);
  }
  state_.upstreams.replace_all(snapshot.upstreams, state_.clock(), removal_deadline(),
                               restored ? listing_kind::restored : listing_kind::current);
  // Crash records that a restored registry has lost are reported again.
  state_.crashes.replace_all(snapshot.crashes, restored);
  state_.notify_crashes_changed();
  replace_evacuations(snapshot.evacuations, restored, source);
  state_.log.write("upstreams_listed", {{"count", snapshot.upstreams.size()},
                                        {"era", snapshot.revision.era.value()},
                                        {"revision", snapshot.revision.number},
                                        {"source", std::string(source)}});
  revision_ = snapshot.revision;
  changes_.reset(revision_);
  notify_change();
  return true;
}

void registry_replica::on_registry_restored(const registry_revision& restored,
                                            std::string_view source) {
  // Entries written since the copy was made are missing until their upstreams write them again.
  recovered_at_ = state_.clock();
  state_.log.write("registry_restored", {{"era_before", revision_.era.value()},
                                         {"era", restored.era.value()},
                                         {"revision_before", revision_.number},
                                         {"revision", restored.number},
                                         {"source", std::string(source)}});
  state_.metrics.add("registry_restores_total");
}

void registry_replica::on_registry_lost(std::string_view reason) {
  if (registry_reachable_) {
    state_.log.write("registry_lost",
                     {{"why", std::string(reason)}, {"revision", revision_.number}});
    state_.metrics.add("registry_losses_total");
  }
  registry_reachable_ = false;
}

void registry_replica::on_registry_reached(base::instant confirmed, std::string_view source) {
  confirmed_at_ = std::max(confirmed_at_, confirmed);
  if (!registry_reachable_) {
    recovered_at_ = state_.clock();
    state_.log.write("registry_reached",
                     {{"revision", revision_.number}, {"source", std::string(source)}});
  }
  registry_reachable_ = true;
}

void registry_replica::set_watching(bool watching) {
  if (watching_ == watching) {
    return;
  }
  watching_ = watching;
  watching_since_ = watching ? state_.clock() : base::instant::min();
  if (!watching) {
    notify_change();
  }
}

base::duration registry_replica::age() const {
  // State that was never confirmed counts as very old.
  constexpr base::duration unconfirmed = std::chrono::hours(24);
  const base::instant last = std::max(confirmed_at_, watching_since_);
  return last == base::instant::min() ? unconfirmed : state_.clock() - last;
}

registry_snapshot registry_replica::snapshot() const {
  registry_snapshot result;
  result.revision = revision_;
  result.announced_table_version = newest_table_version_;
  if (state_.table) {
    result.table = *state_.table;
  }
  result.upstreams = state_.upstreams.entries();
  result.crashes = state_.crashes.entries();
  result.evacuations = state_.upstreams.evacuations();
  return result;
}

}  // namespace catkintack::control
