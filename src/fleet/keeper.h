// Keeps the book of purges in a store: reads it at the start, hands on what is new, tells what is safe.
#pragma once

#include <string>

#include "io/log.h"
#include "io/scheduler.h"
#include "purge/purge_registry.h"
#include "store/store.h"

namespace walkpaddle::fleet {

// The number of this store's life, told by the store or, in a new one, `fresh`: a router whose store was
// removed is another issuer.
std::string run_of(store::Store& store, const std::string& fresh);

class Keeper final : Scheduler::Watcher {
 public:
  // Reads the whole store into `purges`; StoreError if a value cannot be read.
  Keeper(Scheduler& scheduler, Log& log, purge::PurgeRegistry& purges, store::Store& store);
  ~Keeper();
  void pull();  // at a turn's end

 private:
  void on_ready(std::uint32_t epoll_events) override;
  Scheduler& scheduler_;
  Log& log_;
  purge::PurgeRegistry& purges_;
  store::Store& store_;
  bool said_ = false;
};

}  // namespace walkpaddle::fleet
