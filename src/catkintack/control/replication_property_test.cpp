// Replicas that exchange changes in any order, with late and repeated messages, while the registry
// is written to and restored from older copies. No network: messages are what a publisher would
// send.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>

#include "catkintack/control/registry_replica.hpp"
#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::control {
namespace {

const base::service_id press("press");

/// @brief The registry: its present state, its changes of this era, and an older copy.
class model_registry {
 public:
  struct state {
    std::uint64_t number = 0;
    std::map<std::string, directory::endpoint> upstreams;
    std::uint64_t table_version = 1;
  };

  registry_revision revision() const { return {base::registry_era(era_), current_.number}; }
  const state& current() const { return current_; }

  void put(const directory::endpoint& upstream) {
    const std::string id = upstream.record.id.value();
    const auto found = current_.upstreams.find(id);
    if (found != current_.upstreams.end() && found->second == upstream) {
      return;
    }
    current_.upstreams[id] = upstream;
    append({.changed = {upstream}});
  }
  void remove(const std::string& id) {
    if (current_.upstreams.erase(id) > 0) {
      append({.removed = {base::upstream_id(id)}});
    }
  }
  void put_table(std::uint64_t version) {
    if (version != current_.table_version) {
      current_.table_version = version;
      append({.table = table_of(version)});
    }
  }
  void copy() { copy_ = current_; }
  void restore() {
    current_ = copy_;
    ++era_;
    changes_.clear();
  }

  /// @brief What a watcher at a revision of this era receives; an era restarts the history.
  std::variant<change_batch, registry_snapshot> read_after(const registry_revision& known) const {
    if (known.era != revision().era || known.number < first_number()) {
      registry_snapshot listing{.revision = revision(), .table = table_of(current_.table_version)};
      for (const auto& [id, upstream] : current_.upstreams) {
        listing.upstreams.push_back(upstream);
      }
      return listing;
    }
    change_batch result{.base_revision = known, .revision = revision()};
    std::map<std::string, std::optional<directory::endpoint>> last;
    for (const change_batch& change : changes_) {
      if (change.revision <= known) {
        continue;
      }
      for (const directory::endpoint& upstream : change.changed) {
        last[upstream.record.id.value()] = upstream;
      }
      for (const base::upstream_id& id : change.removed) {
        last[id.value()] = std::nullopt;
      }
      result.table = change.table ? change.table : result.table;
    }
    for (const auto& [id, upstream] : last) {
      if (upstream) {
        result.changed.push_back(*upstream);
      } else {
        result.removed.emplace_back(id);
      }
    }
    return result;
  }

  /// @brief Twelve routes, of which each version changes one.
  static routes::route_table table_of(std::uint64_t version) {
    constexpr std::uint64_t route_count = 12;
    routes::route_table_builder builder{base::list_version(version)};
    for (std::uint64_t i = 0; i < route_count; ++i) {
      const std::uint64_t changes = (version + route_count - 1 - i) / route_count;
      builder.add(routes::route{.name = routes::route_id("r" + std::to_string(i)),
                                .host = "a.example",
                                .prefix = "/" + std::to_string(i) + "/",
                                .services = {{press, 1}},
                                .max_attempts = static_cast<std::uint32_t>(changes + 1)});
    }
    return std::move(builder).build();
  }

 private:
  std::uint64_t first_number() const {
    return changes_.empty() ? current_.number : changes_.front().revision.number - 1;
  }
  void append(change_batch change) {
    ++current_.number;
    change.revision = revision();
    changes_.push_back(std::move(change));
  }

  std::uint64_t era_ = 1;
  state current_;
  state copy_;
  std::deque<change_batch> changes_;
};

/// @brief What one host sends to another.
struct model_message {
  std::vector<change_batch> batches;
  std::optional<registry_snapshot> snapshot;
};

struct model_host {
  explicit model_host(const base::instant& now) : clock(&now) {}

  model_message message_for(const registry_revision& known) const {
    if (auto batches = replica.changes().since(known)) {
      return {.batches = std::move(*batches), .snapshot = {}};
    }
    return {.batches = {}, .snapshot = replica.snapshot()};
  }
  void receive(const model_message& message) {
    for (const change_batch& batch : message.batches) {
      if (!replica.apply(batch, "peer")) {
        break;
      }
    }
    if (message.snapshot) {
      replica.apply_snapshot(*message.snapshot, "peer");
    }
  }
  /// @brief Like registry_sync: reads the changes, and a table that a message only announced or
  /// that differs from a version which this host does not have.
  void read(const model_registry& registry) {
    const auto answer = registry.read_after(replica.revision());
    if (const auto* const batch = std::get_if<change_batch>(&answer)) {
      replica.apply(*batch, "registry");
    } else {
      replica.apply_snapshot(std::get<registry_snapshot>(answer), "registry");
    }
    if (replica.lacks_table()) {
      replica.apply_table(model_registry::table_of(registry.current().table_version), "registry");
    }
  }
  std::set<std::string> usable() const {
    std::set<std::string> result;
    for (const auto* const one : state.upstreams.available(press, *clock)) {
      result.insert(one->listed.record.id.value());
    }
    return result;
  }
  std::uint64_t table_version() const { return state.table ? state.table->version().value() : 0; }

  const base::instant* clock;
  logging::structured_log log{[] { return base::wall_time(); }, [this] { return *clock; },
                              [](const std::string&) {}};
  serving::traffic_state state{{}, [this] { return *clock; }, base::seeded_random_hook(1), log};
  registry_replica replica{state};
};

/// @brief The registry, its writers, and hosts that exchange messages.
class model_fleet {
 public:
  static constexpr std::size_t host_count = 4;

  model_fleet() {
    for (std::size_t i = 0; i < host_count; ++i) {
      hosts_.push_back(std::make_unique<model_host>(now_));
    }
  }

  void step(int action, std::size_t pick) {
    switch (action) {
      case 0: {
        directory::endpoint& upstream = written_["u" + std::to_string(pick % 6)];
        upstream.record.id = base::upstream_id("u" + std::to_string(pick % 6));
        upstream.record.service = press;
        upstream.record.where = {"10.0.0.1", 80};
        upstream.record.leaving = false;
        upstream.run = base::incarnation(++runs_);
        registry_.put(upstream);
        break;
      }
      case 1:
        if (!written_.empty()) {
          auto one =
              std::next(written_.begin(), static_cast<std::ptrdiff_t>(pick % written_.size()));
          one->second.record.leaving = true;
          registry_.put(one->second);
        }
        break;
      case 2:
        if (!written_.empty()) {
          auto one =
              std::next(written_.begin(), static_cast<std::ptrdiff_t>(pick % written_.size()));
          registry_.remove(one->first);
          written_.erase(one);
        }
        break;
      case 3:
        registry_.put_table(++table_version_);
        break;
      case 4:
        registry_.copy();
        break;
      case 5:
        registry_.restore();
        break;
      case 6:
        write_again();
        break;
      case 7:
      case 8:
        hosts_[pick % 2]->read(registry_);
        break;
      case 9:
        now_ += std::chrono::milliseconds(100 * static_cast<int>(pick % 10));
        break;
      default:
        exchange(pick);
    }
    check();
  }

  /// @brief Writes everything once more, lets every host catch up and all grace periods end.
  void settle() {
    write_again();
    for (int round = 0; round < 2; ++round) {
      hosts_[0]->read(registry_);
      for (std::size_t i = 1; i < host_count; ++i) {
        const registry_revision known =
            hosts_[i]->replica.lacks_table() ? registry_revision{} : hosts_[i]->replica.revision();
        hosts_[i]->receive(hosts_[0]->message_for(known));
      }
      now_ += std::chrono::seconds(30);
      check();
    }
  }

  void check_final_state() const {
    std::set<std::string> expected;
    for (const auto& [id, upstream] : written_) {
      if (!upstream.record.leaving) {
        expected.insert(id);
      }
    }
    for (const auto& host : hosts_) {
      RC_ASSERT(host->replica.revision() == registry_.revision());
      RC_ASSERT(host->usable() == expected);
      RC_ASSERT(host->table_version() == table_version_);
      std::vector<routes::route> routes = host->state.table->routes();
      std::ranges::sort(routes, {}, &routes::route::name);
      std::vector<routes::route> written = model_registry::table_of(table_version_).routes();
      std::ranges::sort(written, {}, &routes::route::name);
      RC_ASSERT(routes == written);
    }
  }

 private:
  void write_again() {
    registry_.put_table(table_version_);
    for (const auto& [id, upstream] : written_) {
      registry_.put(upstream);
    }
    const auto listed = registry_.current().upstreams;
    for (const auto& [id, upstream] : listed) {
      if (!written_.contains(id)) {
        registry_.remove(id);
      }
    }
  }

  void exchange(std::size_t pick) {
    const std::size_t from = pick % host_count;
    const std::size_t to = (pick / host_count) % host_count;
    messages_.push_back({to, hosts_[from]->message_for(hosts_[to]->replica.revision())});
    const std::size_t delivered = (pick / 16) % messages_.size();
    const auto message = messages_[delivered];
    hosts_[message.first]->receive(message.second);
    // One in three messages is delivered again later.
    if (pick % 3 != 0) {
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(delivered));
    }
  }

  void check() {
    for (std::size_t i = 0; i < host_count; ++i) {
      const model_host& host = *hosts_[i];
      RC_ASSERT(host.replica.revision() >= revisions_[i]);
      RC_ASSERT(host.table_version() >= versions_[i]);
      revisions_[i] = host.replica.revision();
      versions_[i] = host.table_version();
      for (const auto* const one : host.state.upstreams.available(press, now_)) {
        RC_ASSERT(!left_[i].contains({one->listed.record.id.value(), one->listed.run}));
      }
      for (const directory::endpoint& one : host.state.upstreams.entries()) {
        if (one.record.leaving) {
          left_[i].insert({one.record.id.value(), one.run});
        }
      }
    }
  }

  base::instant now_{std::chrono::seconds(1000)};
  model_registry registry_;
  std::map<std::string, directory::endpoint> written_;  ///< What the writers hold to be listed.
  std::uint64_t table_version_ = 1;
  std::uint64_t runs_ = 0;
  std::vector<std::unique_ptr<model_host>> hosts_;
  std::deque<std::pair<std::size_t, model_message>> messages_;
  std::array<registry_revision, host_count> revisions_{};
  std::array<std::uint64_t, host_count> versions_{};
  std::array<std::set<std::pair<std::string, base::incarnation>>, host_count> left_;
};

RC_GTEST_PROP(replication_property, hosts_never_go_back_and_end_at_what_the_writers_hold, ()) {
  model_fleet fleet;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
      rc::gen::pair(rc::gen::inRange(0, 18), rc::gen::inRange<std::size_t>(0, 10000)));
  for (const auto& [action, pick] : steps) {
    fleet.step(action, pick);
  }
  fleet.settle();
  fleet.check_final_state();
}

}  // namespace
}  // namespace catkintack::control
