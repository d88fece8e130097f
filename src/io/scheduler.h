// The scheduler: one thread, coroutines over epoll, timers finer than a millisecond. A turn reads the clock
// once, wakes what became ready, runs the tasks until none is ready, and then calls the ends of the turn.
#pragma once

#include <algorithm>
#include <coroutine>
#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "io/fd.h"
#include "io/task.h"

namespace walkpaddle {

class Scheduler;

constexpr Seconds kNoTime = 1e15;

// What one task waits for, with or without a time. It can be set before; it stays set until taken. Whichever
// is dropped first, the event or the waiting task, leaves its timer and its place among the ready.
class Event {
 public:
  explicit Event(Scheduler& scheduler) : scheduler_(scheduler) {}
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;
  ~Event() { drop(); }

  void set();

  class Awaiter {
   public:
    Awaiter(Event& event, Seconds until) : event_(event), until_(until) {}
    Awaiter(const Awaiter&) = delete;
    Awaiter& operator=(const Awaiter&) = delete;
    ~Awaiter() { event_.drop(); }
    bool await_ready() const { return event_.set_; }
    void await_suspend(std::coroutine_handle<> task) { event_.wait_as(task, until_); }
    bool await_resume() const { return std::exchange(event_.set_, false); }  // false: the time came first

   private:
    Event& event_;
    Seconds until_;
  };
  Awaiter wait(Seconds until = kNoTime) { return {*this, until}; }

 private:
  friend class Scheduler;
  void wait_as(std::coroutine_handle<> task, Seconds until);
  void drop();

  Scheduler& scheduler_;
  std::coroutine_handle<> task_;
  std::multimap<Seconds, Event*>::iterator timer_{};
  bool set_ = false, timed_ = false, ready_ = false;
};

class Scheduler {
 public:
  // Told of a descriptor's edges; lives as long as its place in epoll.
  class Watcher {
   public:
    virtual void on_ready(std::uint32_t epoll_events) = 0;

   protected:
    ~Watcher() = default;
  };

  Scheduler();
  ~Scheduler();

  Seconds now() const { return now_; }  // Unix time, read once a turn
  Seconds now_uncached() const;  // read now: where the turn may be long, or the process stood still within it
  // What is read in this turn may have waited so long for this thread: it was busy with the turn before, or
  // the process stood still.
  Seconds max_input_delay() const { return late_; }
  void start(Task task);  // runs it up to its first wait, then goes on with the caller
  // The same for a task whose failure concerns it alone: an exception that leaves it ends it, not the
  // program.
  void start_isolated(Task task);
  using OnFailure = std::function<void(std::exception_ptr)>;
  void on_failure(OnFailure call) { on_failure_ = std::move(call); }  // of an isolated task
  // Edges of `fd` are told from now on, the present state first. While the kernel refuses for want of memory
  // or of watches (ENOMEM, ENOSPC), it is asked again; other errors throw SystemError.
  void watch(int fd, Watcher& watcher);
  void unwatch(int fd, Watcher& watcher);
  void call_at_turn_end(std::function<void()> call) { ends_.push_back(std::move(call)); }
  void turn_by(Seconds time) { turn_by_ = std::min(turn_by_, time); }  // a turn begins by then, once
  void run();  // until stop(); an exception of a task that is not isolated comes out here
  void stop() { stopped_ = true; }
  void drop_tasks();

 private:
  friend class Event;
  void read_clock();
  void wait_for_edges();
  void run_ready();
  void resume(std::coroutine_handle<> task);
  void watch_refused_again();

  struct Refused {
    int fd;
    Watcher* watcher;
  };
  Fd epoll_;
  Seconds now_ = 0, unix_less_steady_ = 0;
  bool stopped_ = false;
  std::multimap<Seconds, Event*> timers_;
  std::deque<Event*> ready_;               // null: dropped since
  std::unordered_map<void*, Task> tasks_;  // by their frames
  std::vector<std::function<void()>> ends_;
  std::vector<Watcher*> told_;    // this turn's; null: forgotten since
  std::vector<Refused> refused_;  // not watched yet: at most one for each open descriptor
  Seconds turn_by_ = kNoTime, late_ = 0, last_late_ = 0;
  OnFailure on_failure_;
};

}  // namespace walkpaddle
