/// \file
/// Keeps the purge log in a store: reads it at the start, hands on what is new, reports what is durable.
#pragma once

#include <cstdint>
#include <string>

#include "io/log.h"
#include "io/scheduler.h"
#include "purge/purge_registry.h"
#include "store/store.h"

namespace walkpaddle::replication {

/// The identity of this store, under which its router issues purges: what the store has, or `fresh_identity`
/// where it has none, which is then stored. A router whose store was removed is another issuer.
std::string load_or_create_identity(store::Store& store, const std::string& fresh_identity);

/// Binds a purge registry to its store. Lifetime: all that the constructor takes outlives it. Threads: the
/// scheduler's.
class PurgePersister final : Scheduler::Watcher {
 public:
  /// Reads the whole store into `purges`; StoreError if a value cannot be read.
  PurgePersister(Scheduler& scheduler, Log& log, purge::PurgeRegistry& purges, store::Store& store);
  PurgePersister(const PurgePersister&) = delete;
  PurgePersister& operator=(const PurgePersister&) = delete;
  ~PurgePersister();

  /// Hands to the store what is new and what is to be erased; to be called at each turn's end.
  void on_turn_end();

 private:
  void on_ready(std::uint32_t epoll_events) override;
  void restore();
  bool store_new();  // false: the store takes no more now
  void erase_dropped();

  Scheduler& scheduler_;
  Log& log_;
  purge::PurgeRegistry& purges_;
  store::Store& store_;
  bool failure_logged_ = false;
};

}  // namespace walkpaddle::replication
