/// \file
/// The signals that the server handles, read from a descriptor on the scheduler's thread.
#pragma once

#include <cstdint>

#include "io/fd.h"
#include "io/scheduler.h"

namespace walkpaddle::server {

/// SIGTERM, SIGINT and SIGHUP by signalfd(2). The scheduler must outlive it.
class Signals final : Scheduler::Watcher {
 public:
  /// Blocks the handled signals, so that they wait until a `Signals` reads them, and ignores SIGPIPE: who
  /// reads the log may go. To be called before anything else in the program: a SIGHUP that comes during the
  /// start would end it.
  static void block();

  /// Throws SystemError if the kernel gives no descriptor.
  explicit Signals(Scheduler& scheduler);
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;
  ~Signals();

  /// The next signal that came, 0 for none.
  int take();
  /// Wakes who waits on `arrived` as a signal would.
  void wake() { arrived.set(); }

  Event arrived;  ///< set when a signal may be there to take

 private:
  void on_ready(std::uint32_t) override { arrived.set(); }

  Scheduler& scheduler_;
  Fd fd_;
};

}  // namespace walkpaddle::server
