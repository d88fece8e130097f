#pragma once

#include <utility>

#include "io/fd.h"
#include "io/scheduler.h"

namespace walkpaddle {

/// A descriptor that is watched for input, such as a listening socket or a UDP socket. `scheduler` must
/// outlive it.
class Listener final : Scheduler::Watcher {
 public:
  /// Takes ownership of a non-blocking descriptor and watches it.
  Listener(Scheduler& scheduler, Fd fd) : input_ready(scheduler), scheduler_(scheduler), fd_(std::move(fd)) {
    scheduler_.watch(fd_.get(), *this);
  }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener() { close(); }
  /// Closes the socket and wakes the task that waits for input.
  void close() {
    if (!fd_) return;
    scheduler_.unwatch(fd_.get(), *this);
    fd_ = Fd();
    input_ready.set();
  }
  /// Stops watching the socket and returns it, still open; wakes the task that waits for input.
  Fd detach() {
    if (fd_) scheduler_.unwatch(fd_.get(), *this);
    Fd fd = std::move(fd_);
    input_ready.set();
    return fd;
  }
  /// Whether the descriptor is still owned.
  bool open() const { return static_cast<bool>(fd_); }
  /// The descriptor; -1 after close() or detach().
  int fd() const { return fd_.get(); }
  /// Accepts the next connection, as a non-blocking socket. Returns an invalid Fd, with errno set, if none
  /// waits (EAGAIN) or the call fails.
  Fd accept();

  Event input_ready;  ///< set on input, close() and detach()

 private:
  void on_ready(std::uint32_t) override { input_ready.set(); }
  Scheduler& scheduler_;
  Fd fd_;
};

}  // namespace walkpaddle
