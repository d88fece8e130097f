/// \file
/// Counters of the server, for the admin socket, the log and the canary verdict of rollouts.
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

/// Collects the counters of guard and routing policy. Scheduler and dispatcher must outlive it.
class Metrics {
 public:
  /// Keeps the references; the counters are those of the dispatcher.
  Metrics(Scheduler& scheduler, net::RequestDispatcher& dispatcher)
      : scheduler_(scheduler), dispatcher_(dispatcher) {}

  /// All counters since the start by name, including those at 0, always in the same order.
  std::vector<std::pair<std::string, std::uint64_t>> by_name() const;
  /// Logs one line with all counters that are not 0.
  void log_counters(Log& log) const;
  /// The metrics that rollouts compare, with memory and CPU time of the process. Must be called only if
  /// rollouts are enabled.
  rollout::RolloutMetrics rollout_counters();

 private:
  void sample_process_load();

  Scheduler& scheduler_;
  net::RequestDispatcher& dispatcher_;
  Seconds next_load_sample_ = 0;
};

}  // namespace walkpaddle::server
