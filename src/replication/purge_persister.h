/// \file
/// Persists the purge log: reads it from the store at the start, writes new purges, and reports what is
/// durable.
#pragma once

#include <cstdint>
#include <string>

#include "io/log.h"
#include "io/scheduler.h"
#include "purge/purge_registry.h"
#include "store/store.h"

namespace walkpaddle::replication {

/// The identity from which the router's issuer id is derived: the stored one, or `fresh_identity`, which is
/// then stored. A router whose store was removed therefore becomes a new issuer.
std::string load_or_create_identity(store::Store& store, const std::string& fresh_identity);

/// The name of the series of positions in the purge log of this identity. Within a series no position is
/// given twice, so that the cursors of cache servers stay comparable over restarts.
std::string position_series(const std::string& identity);

/// Connects a purge registry to its store. Lifetime: all constructor arguments must outlive it. Threads: only
/// the scheduler's thread.
class PurgePersister final : Scheduler::Watcher {
 public:
  /// Restores `purges` from the store. Throws StoreError if a value is malformed.
  PurgePersister(Scheduler& scheduler, Log& log, purge::PurgeRegistry& purges, store::Store& store);
  PurgePersister(const PurgePersister&) = delete;
  PurgePersister& operator=(const PurgePersister&) = delete;
  ~PurgePersister();

  /// Passes new entries and erasures to the store. Must be called at the end of each scheduler turn.
  void on_turn_end();

 private:
  void on_ready(std::uint32_t epoll_events) override;
  void restore();
  bool store_new();  // false if the store accepts no more writes now
  void erase_dropped();
  bool put_dropped(std::uint64_t issuer);  // false if the store accepts no more writes now

  Scheduler& scheduler_;
  Log& log_;
  purge::PurgeRegistry& purges_;
  store::Store& store_;
  bool failure_logged_ = false;
};

}  // namespace walkpaddle::replication
