/// \file
/// Saves and restores the routing policy's snapshot across restarts: in a file on this machine, and at the
/// other routers of the fleet.
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

/// Reads and writes the policy's snapshot. All arguments of the constructor must outlive it.
class WarmStart {
 public:
  /// `file`: path of the snapshot file; empty: no file is read or written.
  WarmStart(const std::string& file, const config::Settings& settings, Scheduler& scheduler,
            net::RequestDispatcher& dispatcher, const net::UpstreamPool& upstream, Log& log)
      : file_(file),
        settings_(settings),
        scheduler_(scheduler),
        dispatcher_(dispatcher),
        upstream_(upstream),
        log_(log) {}

  /// Restores the file's snapshot into the policy. To be called after the initial endpoint list is applied.
  /// If the file cannot be used, the reason is logged and the start continues without it.
  void restore_from_file();
  /// Replaces the file atomically.
  void write_file();

  /// The policy's snapshot in the form in which other routers keep it.
  gossip::ReplicatedSnapshot replicated_snapshot() const;
  /// Restores the snapshot that other routers kept from this router's previous run.
  void restore_replicated(const gossip::ReplicatedSnapshot& replicated);

 private:
  int restore_service_times(const warm_start::SnapshotFile& file_snapshot, WarmStartSnapshot& snapshot) const;
  int restore_unreachable_endpoints(const warm_start::SnapshotFile& file_snapshot,
                                    WarmStartSnapshot& snapshot) const;
  warm_start::SnapshotFile make_snapshot_file();

  const std::string& file_;
  const config::Settings& settings_;
  Scheduler& scheduler_;
  net::RequestDispatcher& dispatcher_;
  const net::UpstreamPool& upstream_;
  Log& log_;
};

}  // namespace walkpaddle::server
