// Tells caches the purges, where they understand them: "purges", place, and what is asked; see
// docs/purges.md.
#pragma once

#include <string>

#include "io/log.h"
#include "net/upstream_pool.h"
#include "purge/purge_registry.h"

namespace walkpaddle::net {

class PurgeNotifier final : UpstreamPool::Commands {
 public:
  // `run` names this run of places: another run's cursors mean nothing.
  PurgeNotifier(Scheduler& scheduler, Log& log, purge::PurgeRegistry& purges, UpstreamPool& caches,
                std::string run);

 private:
  void command_answered(int member, const std::vector<std::string_view>& words) override;
  void connection_lost(int member) override { purges_.delivery().connection_lost(member); }
  Task tell_all();

  Scheduler& scheduler_;
  Log& log_;
  purge::PurgeRegistry& purges_;
  UpstreamPool& upstream_;
  const std::string run_;
};

}  // namespace walkpaddle::net
