/// \file
/// The signals that the server handles, read from a signalfd on the scheduler's thread.
#pragma once

#include <cstdint>

#include "io/fd.h"
#include "io/scheduler.h"

namespace walkpaddle::server {

/// Receives SIGTERM, SIGINT and SIGHUP by signalfd(2). The scheduler must outlive it.
class Signals final : Scheduler::Watcher {
 public:
  /// Blocks the handled signals, so that they stay pending until a `Signals` reads them, and ignores SIGPIPE,
  /// since the reader of the log may close its end. To be called first in the program: a SIGHUP that arrives
  /// during the start would end the process.
  static void block();

  /// Throws SystemError if the descriptor cannot be created.
  explicit Signals(Scheduler& scheduler);
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;
  ~Signals();

  /// Returns the next pending signal, 0 for none.
  int take();
  /// Wakes the task that waits on `arrived`, as a signal would.
  void wake() { arrived.set(); }

  Event arrived;  ///< set when a signal may be pending

 private:
  void on_ready(std::uint32_t) override { arrived.set(); }

  Scheduler& scheduler_;
  Fd fd_;
};

}  // namespace walkpaddle::server
