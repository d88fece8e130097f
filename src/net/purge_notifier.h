/// \file
/// Notifies cache servers of purges, if they support it, by the command "purges" (see docs/purges.md).
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "io/log.h"
#include "io/scheduler.h"
#include "net/upstream_pool.h"
#include "purge/purge_registry.h"

namespace walkpaddle::net {

/// Sends the messages of PurgeDelivery over the connections of the pool, and passes the answers of cache
/// servers back to it.
///
/// Lifetimes: the references that the constructor takes must outlive it. The pool calls it until the
/// scheduler's tasks are dropped (Scheduler::drop_tasks), which must happen before it is destroyed. Threads:
/// everything runs on the scheduler's one thread.
class PurgeNotifier final : CommandListener {
 public:
  /// `run`: name of the series of log positions; cursors of another series are not comparable.
  PurgeNotifier(Scheduler& scheduler, Log& log, purge::PurgeRegistry& purges, UpstreamPool& upstream,
                std::string run);
  PurgeNotifier(const PurgeNotifier&) = delete;
  PurgeNotifier& operator=(const PurgeNotifier&) = delete;

 private:
  // Throws InputError for a malformed answer, upon which the pool ends the connection.
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
