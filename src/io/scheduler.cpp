#include "io/scheduler.h"

#include <sys/epoll.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cmath>

#include "base/error.h"

namespace walkpaddle {

namespace {

template <class Clock>
Seconds seconds_of() {
  return std::chrono::duration<Seconds>(Clock::now().time_since_epoch()).count();
}

}  // namespace

void Event::set() {
  if (set_) return;
  set_ = true;
  if (!task_ || ready_) return;
  ready_ = true;
  scheduler_.ready_.push_back(this);
}

void Event::wait_as(std::coroutine_handle<> task, Seconds until) {
  task_ = task;
  if (until >= kNoTime) return;
  timer_ = scheduler_.timers_.emplace(until, this);
  timed_ = true;
}

void Event::drop() {
  task_ = {};
  if (std::exchange(timed_, false)) scheduler_.timers_.erase(timer_);
  if (!std::exchange(ready_, false)) return;
  std::replace(scheduler_.ready_.begin(), scheduler_.ready_.end(), this, static_cast<Event*>(nullptr));
}

Scheduler::Scheduler() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_) throw SystemError("epoll_create1", errno);
  // The steady clock moves the time on, so that a step of the system's clock moves no timer.
  unix_less_steady_ = seconds_of<std::chrono::system_clock>() - seconds_of<std::chrono::steady_clock>();
  read_clock();
}

Scheduler::~Scheduler() { drop_tasks(); }

void Scheduler::drop_tasks() { std::exchange(tasks_, {}).clear(); }

Seconds Scheduler::now_uncached() const {
  return seconds_of<std::chrono::steady_clock>() + unix_less_steady_;
}

void Scheduler::read_clock() { now_ = now_uncached(); }

void Scheduler::start(Task task) {
  const auto handle = task.handle();
  tasks_.emplace(handle.address(), std::move(task));
  resume(handle);
}

void Scheduler::start_isolated(Task task) {
  task.isolate();
  start(std::move(task));
}

// A task that ends is dropped here, after it has given the control back.
void Scheduler::resume(std::coroutine_handle<> handle) {
  handle.resume();
  if (!handle.done()) return;
  const auto it = tasks_.find(handle.address());
  const auto failure = it->second.failure();
  const bool isolated = it->second.isolated();
  tasks_.erase(it);
  if (failure == nullptr) return;
  if (!isolated || !on_failure_) std::rethrow_exception(failure);
  on_failure_(failure);
}

void Scheduler::watch(int fd, Watcher& watcher) {
  epoll_event e{};
  e.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  e.data.ptr = &watcher;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &e) == 0) return;
  if (errno != ENOSPC && errno != ENOMEM) throw SystemError("epoll_ctl", errno);
  constexpr Seconds kPause = 0.01;  // until some descriptor or memory may be free
  refused_.push_back({fd, &watcher});
  turn_by(now_ + kPause);
}

void Scheduler::watch_refused_again() {
  for (const auto& r : std::exchange(refused_, {})) watch(r.fd, *r.watcher);
}

void Scheduler::unwatch(int fd, Watcher& watcher) {
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
  std::replace(told_.begin(), told_.end(), &watcher, static_cast<Watcher*>(nullptr));
  std::erase_if(refused_, [&](const Refused& r) { return r.watcher == &watcher; });
}

void Scheduler::wait_for_edges() {
  constexpr int kAtOnce = 256;  // more wait for the next turn, which comes at once
  epoll_event events[kAtOnce];
  timespec wait{0, 0};
  timespec* until = nullptr;
  const Seconds turn_began = now_;
  read_clock();
  const Seconds waits_from = now_;
  const Seconds first = std::min(turn_by_, timers_.empty() ? kNoTime : timers_.begin()->first);
  if (first < kNoTime) {
    const Seconds left = std::clamp(first - now_, 0.0, 3600.0);
    wait.tv_sec = static_cast<time_t>(left);
    wait.tv_nsec = static_cast<long>((left - std::floor(left)) * 1e9);
    until = &wait;
  }
  const int got = ::epoll_pwait2(epoll_.get(), events, kAtOnce, until, nullptr);
  if (got < 0 && errno != EINTR) throw SystemError("epoll_pwait2", errno);
  read_clock();
  // A stop ends the wait, with an interruption or with the edge of a signal, before the edges of what comes
  // while the process stands still: those of the next turn have waited as long.
  const Seconds late = waits_from - turn_began + std::max(0.0, now_ - std::max(first, waits_from));
  late_ = last_late_ + late;
  last_late_ = got < 0 ? late_ : late;  // an interrupted wait told of no edges at all
  if (now_ >= turn_by_) {
    turn_by_ = kNoTime;
    watch_refused_again();
  }
  told_.clear();
  for (int n = 0; n < got; ++n) told_.push_back(static_cast<Watcher*>(events[n].data.ptr));
  for (int n = 0; n < got; ++n)
    if (auto* watcher = told_[n]) watcher->on_ready(events[n].events);
  told_.clear();
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    auto* event = timers_.begin()->second;
    timers_.erase(timers_.begin());
    event->timed_ = false;
    if (std::exchange(event->ready_, true)) continue;
    ready_.push_back(event);
  }
}

void Scheduler::run_ready() {
  while (!ready_.empty()) {
    auto* event = ready_.front();
    ready_.pop_front();
    if (event == nullptr) continue;
    event->ready_ = false;
    resume(std::exchange(event->task_, {}));
  }
}

void Scheduler::run() {
  while (!stopped_) {
    run_ready();
    for (const auto& call : ends_) {
      call();
      run_ready();
    }
    if (stopped_) return;
    wait_for_edges();
  }
}

}  // namespace walkpaddle
