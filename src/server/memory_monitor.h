/// \file
/// Watches the memory of the process and logs what holds it while little is left.
#pragma once

#include <string>

#include "io/log.h"
#include "io/scheduler.h"
#include "io/stream.h"
#include "net/client_listener.h"
#include "net/request_dispatcher.h"
#include "server/metrics.h"

namespace walkpaddle::server {

/// Logs a line when the resident memory comes near the limit, one a second while it stays there, and one when
/// it has fallen again. Each says what the memory is used for.
///
/// Lifetimes: the references must outlive its task, which Scheduler::drop_tasks ends. Threads: everything
/// runs on the scheduler's one thread.
class MemoryMonitor {
 public:
  /// What it watches.
  struct Parts {
    Scheduler& scheduler;                        ///< runs its task
    Log& log;                                    ///< gets lines of the kind "memory"
    double limit_mb;                             ///< the platform's limit, in MB (2^20 bytes)
    Outbox& outbox;                              ///< knows the bytes that are buffered
    const net::ClientListener& client_listener;  ///< knows the clients and their unfinished messages
    const net::RequestDispatcher& dispatcher;    ///< knows the open requests
    const Metrics& metrics;                      ///< the counters, which are logged beside
  };
  /// Does nothing before start().
  explicit MemoryMonitor(const Parts& parts) : parts_(parts) {}

  /// Starts the task that watches.
  void start() { parts_.scheduler.start(run()); }
  /// Highest resident memory that was seen, in MB.
  double peak_mb() const { return peak_mb_; }

 private:
  Task run();
  void sample();
  std::string usage_text(double resident_mb) const;

  const Parts parts_;
  double peak_mb_ = 0;
  bool is_high_ = false;
  Seconds logged_at_ = 0;
};

}  // namespace walkpaddle::server
