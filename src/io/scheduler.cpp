#include "io/scheduler.h"

#include <sys/epoll.h>
#include <time.h>

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

Seconds thread_cpu_time() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<Seconds>(time.tv_sec) + static_cast<Seconds>(time.tv_nsec) * 1e-9;
}

}  // namespace

void Event::set() {
  if (set_) return;
  set_ = true;
  if (!task_ || ready_) return;
  ready_ = true;
  scheduler_.ready_.push_back(this);
}

void Event::suspend(std::coroutine_handle<> task, Seconds until) {
  task_ = task;
  if (until >= kNoTime) return;
  timer_ = scheduler_.timers_.emplace(until, this);
  timed_ = true;
}

void Event::cancel_wait() {
  task_ = {};
  if (std::exchange(timed_, false)) scheduler_.timers_.erase(timer_);
  if (!std::exchange(ready_, false)) return;
  std::replace(scheduler_.ready_.begin(), scheduler_.ready_.end(), this, static_cast<Event*>(nullptr));
}

Scheduler::Scheduler() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_) throw SystemError("epoll_create1", errno);
  // Time advances with the steady clock, so that a step of the system clock moves no timer.
  unix_minus_steady_ = seconds_of<std::chrono::system_clock>() - seconds_of<std::chrono::steady_clock>();
  read_clock();
}

Scheduler::~Scheduler() { drop_tasks(); }

void Scheduler::drop_tasks() { std::exchange(tasks_, {}).clear(); }

Seconds Scheduler::now_uncached() const {
  return seconds_of<std::chrono::steady_clock>() + unix_minus_steady_;
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

// A task that has ended is destroyed here, after its coroutine has returned control.
void Scheduler::resume(std::coroutine_handle<> handle) {
  const Seconds began = now_uncached();
  const Seconds outer_nested_time = std::exchange(nested_time_, 0);
  handle.resume();
  const Seconds duration = now_uncached() - began;
  const Seconds own_duration = duration - nested_time_;
  nested_time_ = outer_nested_time + duration;
  if (own_duration > kLongRun) {
    const auto& task = tasks_.find(handle.address())->second;
    report_if_long(task.function(), task.file(), own_duration);
  }
  if (!handle.done()) return;
  const auto it = tasks_.find(handle.address());
  const auto failure = it->second.failure();
  const bool isolated = it->second.isolated();
  tasks_.erase(it);
  if (failure == nullptr) return;
  if (!isolated || !on_failure_) std::rethrow_exception(failure);
  on_failure_(failure);
}

void Scheduler::report_if_long(std::string_view function, std::string_view file, Seconds duration) const {
  if (duration <= kLongRun || !on_long_run_) return;
  const auto name = file.substr(file.rfind('/') + 1);
  on_long_run_({function, name, duration, thread_cpu_time() - cpu_time_at_turn_});
}

void Scheduler::watch(int fd, Watcher& watcher) {
  epoll_event e{};
  e.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  e.data.ptr = &watcher;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &e) == 0) return;
  if (errno != ENOSPC && errno != ENOMEM) throw SystemError("epoll_ctl", errno);
  constexpr Seconds kWatchRetryInterval = 0.01;  // by then a watch or memory may have been freed
  pending_watches_.push_back({fd, &watcher});
  request_turn_by(now_ + kWatchRetryInterval);
}

void Scheduler::retry_pending_watches() {
  for (const auto& pending : std::exchange(pending_watches_, {})) watch(pending.fd, *pending.watcher);
}

void Scheduler::unwatch(int fd, Watcher& watcher) {
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
  std::replace(notified_.begin(), notified_.end(), &watcher, static_cast<Watcher*>(nullptr));
  std::erase_if(pending_watches_, [&](const PendingWatch& pending) { return pending.watcher == &watcher; });
}

void Scheduler::wait_for_events() {
  constexpr int kMaxEvents = 256;  // further events are reported in the next turn, which begins at once
  epoll_event events[kMaxEvents];
  timespec wait{0, 0};
  timespec* until = nullptr;
  const Seconds turn_began = now_;
  read_clock();
  const Seconds wait_began = now_;
  const Seconds wake_at = std::min(turn_by_, timers_.empty() ? kNoTime : timers_.begin()->first);
  if (wake_at < kNoTime) {
    const Seconds timeout = std::clamp(wake_at - now_, 0.0, 3600.0);
    wait.tv_sec = static_cast<time_t>(timeout);
    wait.tv_nsec = static_cast<long>((timeout - std::floor(timeout)) * 1e9);
    until = &wait;
  }
  const int got = ::epoll_pwait2(epoll_.get(), events, kMaxEvents, until, nullptr);
  if (got < 0 && errno != EINTR) throw SystemError("epoll_pwait2", errno);
  read_clock();
  // Stopping the process (SIGSTOP) interrupts the wait or ends it with the event of a signal. Input that
  // arrives while the process is stopped is reported in the next turn only, so that turn counts this delay
  // too.
  const Seconds delay = wait_began - turn_began + std::max(0.0, now_ - std::max(wake_at, wait_began));
  max_input_delay_ = previous_delay_ + delay;
  previous_delay_ = got < 0 ? max_input_delay_ : delay;  // an interrupted wait reports no events at all
  if (now_ >= turn_by_) {
    turn_by_ = kNoTime;
    retry_pending_watches();
  }
  notified_.clear();
  for (int n = 0; n < got; ++n) notified_.push_back(static_cast<Watcher*>(events[n].data.ptr));
  for (int n = 0; n < got; ++n)
    if (auto* watcher = notified_[n]) watcher->on_ready(events[n].events);
  notified_.clear();
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

void Scheduler::run_turn_end_calls() {
  for (const auto& call : turn_end_calls_) {
    const Seconds began = now_uncached();
    nested_time_ = 0;
    call();
    report_if_long("a call at the end of the turn", "", now_uncached() - began - nested_time_);
    run_ready();
  }
}

void Scheduler::run() {
  while (!stopped_) {
    cpu_time_at_turn_ = thread_cpu_time();
    run_ready();
    run_turn_end_calls();
    if (stopped_) return;
    wait_for_events();
  }
}

}  // namespace walkpaddle
