// A single-threaded event loop: coroutines over edge-triggered epoll, timers finer than a millisecond. Each
// iteration ("turn") waits for readiness events and timers, reads the clock once, wakes the tasks that became
// ready, runs tasks until none is ready, and then makes the calls registered for the end of the turn.
#pragma once

#include <algorithm>
#include <coroutine>
#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "io/fd.h"
#include "io/task.h"

namespace walkpaddle {

class Scheduler;

/// Stands for a time that is not set. Later than any time that occurs.
constexpr Seconds kNoTime = 1e15;

/// An event that one task at a time can wait for, optionally until a given time. It may be set before the
/// wait, and stays set until a wait consumes it. Event and waiting task may be destroyed in either order: the
/// first to go removes the timer and the entry in the ready queue.
class Event {
 public:
  explicit Event(Scheduler& scheduler) : scheduler_(scheduler) {}
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;
  ~Event() { cancel_wait(); }

  /// Sets the event and makes the task that waits for it ready to run.
  void set();

  /// What wait() returns, for co_await: true if the event was set, false if the time was reached first.
  class Awaiter {
   public:
    Awaiter(Event& event, Seconds until) : event_(event), until_(until) {}
    Awaiter(const Awaiter&) = delete;
    Awaiter& operator=(const Awaiter&) = delete;
    ~Awaiter() { event_.cancel_wait(); }
    bool await_ready() const { return event_.set_; }
    void await_suspend(std::coroutine_handle<> task) { event_.suspend(task, until_); }
    bool await_resume() const { return std::exchange(event_.set_, false); }

   private:
    Event& event_;
    Seconds until_;
  };
  /// Waits until the event is set or the scheduler's clock reaches `until`.
  Awaiter wait(Seconds until = kNoTime) { return {*this, until}; }

 private:
  friend class Scheduler;
  void suspend(std::coroutine_handle<> task, Seconds until);
  void cancel_wait();

  Scheduler& scheduler_;
  std::coroutine_handle<> task_;
  std::multimap<Seconds, Event*>::iterator timer_{};
  bool set_ = false, timed_ = false, ready_ = false;
};

/// Runs tasks on the thread that calls run(). Not thread-safe.
class Scheduler {
 public:
  /// Receives the readiness events of a descriptor. Must stay alive until unwatch().
  class Watcher {
   public:
    /// `epoll_events`: the EPOLL* flags that became set.
    virtual void on_ready(std::uint32_t epoll_events) = 0;

   protected:
    ~Watcher() = default;
  };

  Scheduler();
  ~Scheduler();

  /// Unix time as read once per turn. It advances with the steady clock, so that a step of the system clock
  /// moves no timer.
  Seconds now() const { return now_; }
  /// Like now(), but reads the clock. For code that may run late in a long turn, or after the process was
  /// stopped within the turn.
  Seconds now_uncached() const;
  /// How long input that is read in this turn may have waited for this thread, because it was busy with the
  /// turn before or because the process was stopped.
  Seconds max_input_delay() const { return max_input_delay_; }
  /// Runs the task up to its first wait, then returns. The scheduler owns the task until its end.
  void start(Task task);
  /// Like start(), but an exception that leaves the task goes to the failure handler instead of ending the
  /// program.
  void start_isolated(Task task);
  /// Receives the exception that ended an isolated task.
  using OnFailure = std::function<void(std::exception_ptr)>;
  /// Sets the handler for exceptions of isolated tasks. Without one, run() rethrows them.
  void on_failure(OnFailure call) { on_failure_ = std::move(call); }
  /// A time for which nothing else could run: timers were late, and input was left unread.
  struct LongRun {
    std::string_view function;  ///< the task's coroutine, or what ran outside a task
    std::string_view file;      ///< source file of the coroutine, without its folder; empty for the latter
    Seconds duration = 0;       ///< tasks that it started are not counted
    Seconds cpu_time = 0;  ///< of this thread in this turn; far below `duration`: the process did not run
  };
  /// Receives the runs of more than kLongRun.
  using OnLongRun = std::function<void(const LongRun&)>;
  /// Sets the handler for long runs.
  void on_long_run(OnLongRun call) { on_long_run_ = std::move(call); }
  /// An operator sees answers come late from about here on.
  static constexpr Seconds kLongRun = 0.1;
  /// Reports the readiness events of `fd` to `watcher` from now on, beginning with its present state. If the
  /// kernel lacks memory or watches (ENOMEM, ENOSPC), retries until it succeeds; throws SystemError for other
  /// errors.
  void watch(int fd, Watcher& watcher);
  /// Ends watch(): `watcher` receives no more events.
  void unwatch(int fd, Watcher& watcher);
  /// Registers a function that is called at the end of every turn, in the order of registration.
  void call_at_turn_end(std::function<void()> call) { turn_end_calls_.push_back(std::move(call)); }
  /// Makes a turn begin by `time` at the latest, even without input or timers. Applies once.
  void request_turn_by(Seconds time) { turn_by_ = std::min(turn_by_, time); }
  /// Runs tasks until stop(). Rethrows an exception that leaves a task that is not isolated.
  void run();
  /// Makes run() return before the next wait for events.
  void stop() { stopped_ = true; }
  /// Destroys all tasks, wherever they wait.
  void drop_tasks();

 private:
  friend class Event;
  void read_clock();
  void wait_for_events();
  void run_ready();
  void resume(std::coroutine_handle<> task);
  void run_turn_end_calls();
  void report_if_long(std::string_view function, std::string_view file, Seconds duration) const;
  void retry_pending_watches();

  struct PendingWatch {
    int fd;
    Watcher* watcher;
  };
  Fd epoll_;
  Seconds now_ = 0, unix_minus_steady_ = 0;
  bool stopped_ = false;
  std::multimap<Seconds, Event*> timers_;
  std::deque<Event*> ready_;               // null: removed since
  std::unordered_map<void*, Task> tasks_;  // by coroutine frame address
  std::vector<std::function<void()>> turn_end_calls_;
  std::vector<Watcher*> notified_;             // by this turn's events; null: unwatched since
  std::vector<PendingWatch> pending_watches_;  // to be retried: at most one for each open descriptor
  Seconds turn_by_ = kNoTime, max_input_delay_ = 0, previous_delay_ = 0;
  OnFailure on_failure_;
  OnLongRun on_long_run_;
  Seconds nested_time_ = 0;       // taken by tasks that the present one has started
  Seconds cpu_time_at_turn_ = 0;  // of this thread, at the start of the turn
};

}  // namespace walkpaddle
