/// \file
/// What one start leaves to the next: the policy's snapshot in a file on this machine, and with the other
/// routers of the fleet.
#pragma once

#include "config/operator_config.h"
#include "config/settings.h"
#include "gossip/replicated_snapshot.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "net/request_dispatcher.h"
#include "net/upstream_pool.h"
#include "warm_start/snapshot_file.h"

namespace walkpaddle::server {

/// Reads and writes the policy's snapshot. All that it is given must outlive it.
class WarmStart {
 public:
  /// `file`: path of the snapshot file; empty: nothing is read or written there.
  WarmStart(const std::string& file, const config::Settings& settings, Scheduler& scheduler,
            net::RequestDispatcher& dispatcher, const net::UpstreamPool& upstream, Log& log)
      : file_(file),
        settings_(settings),
        scheduler_(scheduler),
        dispatcher_(dispatcher),
        upstream_(upstream),
        log_(log) {}

  /// Restores the file's snapshot into the policy. To be called once the endpoint list that was known at the
  /// start is applied. A file that cannot be used costs one log line, and the start goes on without it.
  void restore_from_file();
  /// Replaces the file, whole or not at all.
  void write_file();

  /// The policy's snapshot in the form that other routers keep.
  gossip::ReplicatedSnapshot replicated_snapshot() const;
  /// Restores what other routers kept of this one's earlier start.
  void restore_replicated(const gossip::ReplicatedSnapshot& replicated);

 private:
  int restore_service_times(const warm_start::SnapshotFile& kept, WarmStartSnapshot& snapshot) const;
  int restore_unreachable(const warm_start::SnapshotFile& kept, WarmStartSnapshot& snapshot) const;
  warm_start::SnapshotFile kept_snapshot();

  const std::string& file_;
  const config::Settings& settings_;
  Scheduler& scheduler_;
  net::RequestDispatcher& dispatcher_;
  const net::UpstreamPool& upstream_;
  Log& log_;
};

}  // namespace walkpaddle::server
