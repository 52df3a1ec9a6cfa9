#include "catkintack/control/knowledge_keeper.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace catkintack::control {

knowledge_keeper::knowledge_keeper(serving::traffic_state& state, keeper_options options)
    : state_(state), options_(options) {}

void knowledge_keeper::adopt_table(routes::route_table table, std::string_view source) {
  const std::uint64_t current = state_.table ? state_.table->version().value() : 0;
  const std::uint64_t offered = table.version().value();
  if (offered <= current) {
    return;
  }
  state_.log.write("routes_adopted", {{"version", offered},
                                      {"before", current},
                                      {"routes", table.routes().size()},
                                      {"source", std::string(source)}});
  state_.table = std::make_shared<const routes::route_table>(std::move(table));
  state_.metrics.set("routes_version", static_cast<double>(offered));
}

bool knowledge_keeper::lacks_table() const {
  return newest_table_ > (state_.table ? state_.table->version().value() : 0);
}

void knowledge_keeper::put(const directory::endpoint& upstream, std::string_view source) {
  if (state_.upstreams.upsert(upstream, state_.clock())) {
    state_.log.write("upstream_changed", {{"upstream", upstream.record.id.value()},
                                          {"service", upstream.record.service.value()},
                                          {"address", base::to_string(upstream.record.where)},
                                          {"run", upstream.run.value()},
                                          {"leaving", upstream.record.leaving ? 1 : 0},
                                          {"source", std::string(source)}});
  }
}

base::instant knowledge_keeper::keep_missing_until() const {
  const base::instant soon = state_.clock() + options_.removal_grace;
  if (!reached_ || returned_ == base::instant::min()) {
    return soon;
  }
  return std::max(soon, returned_ + options_.return_grace);
}

void knowledge_keeper::remove(const base::upstream_id& id, std::string_view source) {
  state_.upstreams.expire_at(id, keep_missing_until());
  state_.log.write("upstream_removed", {{"upstream", id.value()}, {"source", std::string(source)}});
}

void knowledge_keeper::changed() const {
  if (on_change_) {
    on_change_();
  }
}

bool knowledge_keeper::apply(const change_batch& batch, std::string_view source) {
  if (batch.after > revision_) {
    return false;
  }
  newest_table_ = std::max(newest_table_, batch.newer_table);
  if (batch.table && (batch.revision > revision_ || lacks_table())) {
    adopt_table(*batch.table, source);
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
  revision_ = batch.revision;
  changes_.add(batch);
  if (!batch.empty()) {
    changed();
  }
  return true;
}

bool knowledge_keeper::adopt(knowledge_snapshot snapshot, std::string_view source) {
  newest_table_ = std::max(newest_table_, snapshot.newer_table);
  if (snapshot.table && (snapshot.revision > revision_ || lacks_table())) {
    adopt_table(std::move(*snapshot.table), source);
  }
  if (snapshot.revision <= revision_) {
    return false;
  }
  state_.upstreams.replace_all(snapshot.upstreams, state_.clock(), keep_missing_until());
  state_.log.write("upstreams_listed", {{"count", snapshot.upstreams.size()},
                                        {"revision", snapshot.revision},
                                        {"source", std::string(source)}});
  revision_ = snapshot.revision;
  changes_.restart(revision_);
  changed();
  return true;
}

void knowledge_keeper::on_registry_lost(std::string_view why) {
  if (reached_) {
    state_.log.write("registry_lost", {{"why", std::string(why)}, {"revision", revision_}});
    state_.metrics.add("registry_losses_total");
  }
  reached_ = false;
}

void knowledge_keeper::on_registry_reached(base::instant confirmed, std::string_view source) {
  confirmed_ = std::max(confirmed_, confirmed);
  if (!reached_) {
    returned_ = state_.clock();
    state_.log.write("registry_reached",
                     {{"revision", revision_}, {"source", std::string(source)}});
  }
  reached_ = true;
}

void knowledge_keeper::watching(bool stands) {
  if (watching_ == stands) {
    return;
  }
  watching_ = stands;
  if (!stands) {
    changed();
  }
}

base::duration knowledge_keeper::age() const {
  // Never confirmed counts as a long time ago.
  constexpr base::duration unconfirmed = std::chrono::hours(24);
  if (watching_) {
    return base::duration::zero();
  }
  return confirmed_ == base::instant::min() ? unconfirmed : state_.clock() - confirmed_;
}

knowledge_snapshot knowledge_keeper::snapshot() const {
  knowledge_snapshot result;
  result.revision = revision_;
  result.newer_table = newest_table_;
  if (state_.table) {
    result.table = *state_.table;
  }
  result.upstreams = state_.upstreams.entries();
  return result;
}

}  // namespace catkintack::control
