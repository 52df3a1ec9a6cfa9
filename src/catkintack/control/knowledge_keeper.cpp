#include "catkintack/control/knowledge_keeper.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace catkintack::control {

knowledge_keeper::knowledge_keeper(serving::traffic_state& state, keeper_options options)
    : state_(state), options_(options) {}

void knowledge_keeper::adopt(routes::route_table table, std::string_view source) {
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

void knowledge_keeper::put(const directory::endpoint& upstream, std::string_view source) {
  if (state_.upstreams.put(upstream, state_.clock())) {
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
  state_.upstreams.keep_only_until(id, keep_missing_until());
  state_.log.write("upstream_removed", {{"upstream", id.value()}, {"source", std::string(source)}});
}

void knowledge_keeper::replace_all(const std::vector<directory::endpoint>& listed,
                                   std::string_view source) {
  state_.upstreams.replace_all(listed, state_.clock(), keep_missing_until());
  state_.log.write("upstreams_listed", {{"count", listed.size()}, {"source", std::string(source)}});
}

void knowledge_keeper::adopt(knowledge_snapshot snapshot, std::string_view source) {
  if (snapshot.revision <= revision_) {
    return;
  }
  if (snapshot.table) {
    adopt(std::move(*snapshot.table), source);
  }
  replace_all(snapshot.upstreams, source);
  advance(snapshot.revision);
}

void knowledge_keeper::on_registry_lost(std::string_view why) {
  if (reached_) {
    state_.log.write("registry_lost", {{"why", std::string(why)}, {"revision", revision_}});
    state_.metrics.add("registry_losses_total");
  }
  reached_ = false;
}

void knowledge_keeper::on_registry_reached() {
  if (!reached_) {
    returned_ = state_.clock();
    state_.log.write("registry_reached", {{"revision", revision_}});
  }
  reached_ = true;
}

void knowledge_keeper::advance(std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
}

knowledge_snapshot knowledge_keeper::snapshot() const {
  knowledge_snapshot result;
  result.revision = revision_;
  if (state_.table) {
    result.table = *state_.table;
  }
  result.upstreams = state_.upstreams.listing();
  return result;
}

}  // namespace catkintack::control
