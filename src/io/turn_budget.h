/// \file
/// Divides the scheduler's thread among tasks whose input does not end: one that is sent more than it can
/// handle must not keep timers and other tasks waiting. No I/O.
#pragma once

#include <utility>

#include "io/scheduler.h"

namespace walkpaddle {

/// Counts the time that was taken in the present turn. The scheduler must outlive it.
class TurnBudget {
 public:
  explicit TurnBudget(const Scheduler& scheduler) : scheduler_(scheduler) {}

  /// Whether nothing is left in this turn. The last taker may have gone beyond.
  bool is_spent() const { return turn_ == scheduler_.now() && spent_ >= kPerTurn; }
  /// Counts time that was taken in this turn.
  void spend(Seconds time) {
    if (turn_ != scheduler_.now()) spent_ = 0;
    turn_ = scheduler_.now();
    spent_ += time;
  }

 private:
  static constexpr Seconds kPerTurn = 0.005;
  const Scheduler& scheduler_;
  Seconds turn_ = -1;  // the turn that `spent_` belongs to, by its time
  Seconds spent_ = 0;
};

/// The time for which one task handles its input without a break. A task that has used up a slice counts as
/// busy for a while: busy tasks share a TurnBudget in turn, others run at once. To be used as:
///
///     for (;;) {
///       while (slice.must_wait()) co_await slice.next_turn();
///       slice.begin();
///       do { handle one piece of input } while (there is more && !slice.is_over());
///       slice.end();
///       if (there is more) co_await slice.next_turn();
///       else co_await input;
///     }
///
/// Scheduler and budget must outlive it.
class TimeSlice {
 public:
  static constexpr Seconds kDefaultLength = 0.0005;
  /// `busy_tasks`: shared by the tasks among which the time is divided.
  TimeSlice(Scheduler& scheduler, TurnBudget& busy_tasks, Seconds length = kDefaultLength)
      : scheduler_(scheduler), busy_tasks_(busy_tasks), length_(length), next_turn_(scheduler) {}

  /// Whether the input has to be handled in a later turn. A task that waits stays busy until it has a slice,
  /// however many others come before it.
  bool must_wait() {
    shares_budget_ = shares_budget_ || is_busy();
    return shares_budget_ && busy_tasks_.is_spent();
  }
  /// Whether the task has used up a slice lately: more arrives than it handles in one.
  bool is_busy() const { return scheduler_.now() < busy_until_; }
  /// The input is handled from now on.
  void begin() { began_at_ = scheduler_.now_uncached(); }
  /// Whether it has been handled for long enough.
  bool is_over() const { return scheduler_.now_uncached() >= began_at_ + length_; }
  /// The input is not handled further for now.
  void end() {
    const Seconds taken = scheduler_.now_uncached() - began_at_;
    if (std::exchange(shares_budget_, false)) busy_tasks_.spend(taken);
    if (taken >= length_) busy_until_ = scheduler_.now() + kBusyPeriod;
    ended_in_ = scheduler_.now();
  }
  /// Waits until the next turn, which begins at once if nothing else is to be done. In that turn the tasks
  /// that had no slice in this one come first, so that none waits for ever.
  Event::Awaiter next_turn() {
    const bool had_slice = ended_in_ == scheduler_.now();
    return next_turn_.wait(had_slice ? scheduler_.now_uncached() : scheduler_.now());
  }

 private:
  static constexpr Seconds kBusyPeriod = 0.1;

  Scheduler& scheduler_;
  TurnBudget& busy_tasks_;
  const Seconds length_;
  Event next_turn_;
  bool shares_budget_ = false;  // whether the next slice counts for `busy_tasks_`
  Seconds began_at_ = 0;
  Seconds busy_until_ = 0;
  Seconds ended_in_ = -1;  // the turn of the last slice, by its time
};

}  // namespace walkpaddle
