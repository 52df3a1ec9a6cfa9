#include "catkintack/control/feed_message.hpp"

#include <algorithm>
#include <utility>

namespace catkintack::control {

feed_extensions make_extensions(const feed_changes& changes) {
  feed_extensions result;
  for (const change_batch& batch : changes.batches) {
    batch_extension extension{.evacuations_begun = batch.evacuations_begun,
                              .evacuations_ended = batch.evacuations_ended};
    if (batch.table) {
      extension.table = routes::make_extension(*batch.table);
    } else if (batch.table_delta) {
      extension.table = routes::make_extension(*batch.table_delta);
    }
    result.batches.push_back(std::move(extension));
  }
  if (changes.snapshot) {
    result.snapshot = snapshot_extension{.evacuations = {changes.snapshot->evacuations.begin(),
                                                         changes.snapshot->evacuations.end()}};
    if (changes.snapshot->table) {
      result.snapshot->table = routes::make_extension(*changes.snapshot->table);
    }
  }
  return result;
}

void apply_extensions(feed_changes& changes, const feed_extensions& extensions) {
  const std::size_t count = std::min(changes.batches.size(), extensions.batches.size());
  for (std::size_t i = 0; i < count; ++i) {
    change_batch& batch = changes.batches[i];
    const batch_extension& extension = extensions.batches[i];
    batch.evacuations_begun = extension.evacuations_begun;
    batch.evacuations_ended = extension.evacuations_ended;
    if (batch.table) {
      routes::extend(*batch.table, extension.table);
    } else if (batch.table_delta) {
      routes::extend(*batch.table_delta, extension.table);
    }
  }
  if (changes.snapshot && extensions.snapshot) {
    changes.snapshot->evacuations = {extensions.snapshot->evacuations.begin(),
                                     extensions.snapshot->evacuations.end()};
    if (changes.snapshot->table) {
      routes::extend(*changes.snapshot->table, extensions.snapshot->table);
    }
  }
}

feed_restrictions make_restrictions(const feed_extensions& extensions) {
  feed_restrictions result;
  for (const batch_extension& one : extensions.batches) {
    result.batches.push_back(one.table.restrictions.value_or(feed_restrictions::list()));
  }
  if (extensions.snapshot) {
    result.snapshot = extensions.snapshot->table.restrictions.value_or(feed_restrictions::list());
  }
  return result;
}

void put_restrictions(feed_extensions& extensions, feed_restrictions restrictions) {
  const std::size_t count = std::min(extensions.batches.size(), restrictions.batches.size());
  for (std::size_t i = 0; i < count; ++i) {
    extensions.batches[i].table.restrictions = std::move(restrictions.batches[i]);
  }
  if (extensions.snapshot) {
    extensions.snapshot->table.restrictions = std::move(restrictions.snapshot);
  }
}

}  // namespace catkintack::control
