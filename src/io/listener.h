// A listening socket and the word that somebody waits there.
#pragma once

#include <utility>

#include "io/fd.h"
#include "io/scheduler.h"

namespace walkpaddle {

class Listener final : Scheduler::Watcher {
 public:
  Listener(Scheduler& scheduler, Fd fd) : input_ready(scheduler), scheduler_(scheduler), fd_(std::move(fd)) {
    scheduler_.watch(fd_.get(), *this);
  }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener() { close(); }
  void close() {
    if (!fd_) return;
    scheduler_.unwatch(fd_.get(), *this);
    fd_ = Fd();
    input_ready.set();
  }
  Fd detach() {  // open still, watched no more
    if (fd_) scheduler_.unwatch(fd_.get(), *this);
    Fd fd = std::move(fd_);
    input_ready.set();
    return fd;
  }
  bool open() const { return static_cast<bool>(fd_); }
  int fd() const { return fd_.get(); }
  Fd accept();  // the next that waits; invalid with errno if there is none or none can be had

  Event input_ready;

 private:
  void on_ready(std::uint32_t) override { input_ready.set(); }
  Scheduler& scheduler_;
  Fd fd_;
};

}  // namespace walkpaddle
