/// \file
/// Notifies cache servers of purges, where they understand them: the command "purges" and its answers, see
/// docs/purges.md.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "io/log.h"
#include "io/scheduler.h"
#include "net/upstream_pool.h"
#include "purge/purge_registry.h"

namespace walkpaddle::net {

/// Sends what PurgeDelivery wants to be sent over the connections of the pool, and hands back what cache
/// servers answer.
///
/// Lifetime: all that the constructor takes outlives it; the pool calls it for as long as the pool lives, and
/// the scheduler's tasks are dropped (Scheduler::drop_tasks) before it goes. Threads: the scheduler's.
class PurgeNotifier final : CommandListener {
 public:
  /// `run` names this run of log positions: cursors of another run mean nothing.
  PurgeNotifier(Scheduler& scheduler, Log& log, purge::PurgeRegistry& purges, UpstreamPool& upstream,
                std::string run);
  PurgeNotifier(const PurgeNotifier&) = delete;
  PurgeNotifier& operator=(const PurgeNotifier&) = delete;

 private:
  // Throws InputError for an answer that cannot be read: the pool ends the connection.
  void command_answered(int server, const std::vector<std::string_view>& words) override;
  void connection_lost(int server) override { purges_.delivery().connection_lost(server); }
  Task notify_all();
  std::string command_text(const purge::PurgeDelivery::Message& message, Seconds now) const;

  Scheduler& scheduler_;
  Log& log_;
  purge::PurgeRegistry& purges_;
  UpstreamPool& upstream_;
  const std::string run_;
};

}  // namespace walkpaddle::net
