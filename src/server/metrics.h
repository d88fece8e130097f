/// \file
/// What the server counts: by name for the admin socket and the log's end, and for the judge of rollouts.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "io/log.h"
#include "io/scheduler.h"
#include "net/request_dispatcher.h"
#include "rollout/metrics.h"

namespace walkpaddle::server {

/// Reads the counters of guard and policy. Scheduler and dispatcher must outlive it.
class Metrics {
 public:
  /// Counts nothing itself.
  Metrics(Scheduler& scheduler, net::RequestDispatcher& dispatcher)
      : scheduler_(scheduler), dispatcher_(dispatcher) {}

  /// All counters since the start by name, those at 0 too; the order is the same each time.
  std::vector<std::pair<std::string, std::uint64_t>> by_name() const;
  /// One line of those that are not 0.
  void log_counters(Log& log) const;
  /// What the judge of rollouts compares, the process's memory and CPU time included. Only where rollouts are
  /// switched on.
  rollout::RolloutMetrics rollout_counters();

 private:
  void sample_process_load();

  Scheduler& scheduler_;
  net::RequestDispatcher& dispatcher_;
  Seconds next_load_sample_ = 0;
};

}  // namespace walkpaddle::server
