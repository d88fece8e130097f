#include "server/signals.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>

#include "base/error.h"

namespace walkpaddle::server {

namespace {

sigset_t handled_signals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, signal);
  return set;
}

}  // namespace

void Signals::block() {
  const auto set = handled_signals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
}

Signals::Signals(Scheduler& scheduler) : arrived(scheduler), scheduler_(scheduler) {
  const auto set = handled_signals();
  block();
  fd_ = Fd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd_) throw SystemError("signalfd", errno);
  scheduler_.watch(fd_.get(), *this);
}

Signals::~Signals() { scheduler_.unwatch(fd_.get(), *this); }

int Signals::take() {
  signalfd_siginfo info;
  const auto got = ::read(fd_.get(), &info, sizeof info);
  return got == sizeof info ? static_cast<int>(info.ssi_signo) : 0;
}

}  // namespace walkpaddle::server
