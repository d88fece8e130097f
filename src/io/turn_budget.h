/// \file
/// Time that some tasks may take together in one turn of the scheduler, so that timers and other tasks are
/// not kept waiting. No I/O.
#pragma once

#include "io/scheduler.h"

namespace walkpaddle {

/// Counts the time that was taken in the present turn. The scheduler must outlive it.
class TurnBudget {
 public:
  /// `per_turn`: time that may be taken in one turn, in seconds. The last taker may go beyond.
  TurnBudget(const Scheduler& scheduler, Seconds per_turn) : scheduler_(scheduler), per_turn_(per_turn) {}

  /// Whether nothing is left in this turn.
  bool is_spent() const { return turn_ == scheduler_.now() && spent_ >= per_turn_; }
  /// Counts time that was taken in this turn.
  void spend(Seconds time) {
    if (turn_ != scheduler_.now()) spent_ = 0;
    turn_ = scheduler_.now();
    spent_ += time;
  }

 private:
  const Scheduler& scheduler_;
  const Seconds per_turn_;
  Seconds turn_ = -1;  // the turn that `spent_` belongs to, by its time
  Seconds spent_ = 0;
};

}  // namespace walkpaddle
