/// \file
/// How many attempts, or how much work, may be in flight at an endpoint, a source or a link: grown by one
/// with each limit's worth of answers in time, reduced by a share when too many come late or are rejected
/// (additive increase, multiplicative decrease; Chiu and Jain, 1989). Prevents congestion of any cause:
/// connection places, links in and out, fills.
#pragma once

#include "base/time.h"

namespace walkpaddle::routing {

/// One adaptive limit. Amounts are in attempts of mean work.
class ConcurrencyLimit {
 public:
  /// Share of late answers above which the limit is reduced. Sizes vary: a tenth looks late on a good day.
  static constexpr double kMaxLateShare = 0.15;

  /// Where a limit begins, and how far it may be reduced.
  struct Bounds {
    double initial = 16;  ///< attempts of mean work
    double floor = 4;     ///< never reduced below
  };
  /// Whether an answer came without waiting in a queue, as far as its own time was known.
  enum class Queueing { possible, none };

  ConcurrencyLimit() = default;
  /// One that begins at `bounds.initial`.
  explicit ConcurrencyLimit(const Bounds& bounds) : limit_(bounds.initial), floor_(bounds.floor) {}

  /// Takes this router's part where `routers` share the resource. Each starts with its part of a small
  /// machine's work: three attempts at least, or objects move between caches. The floor comes down to this
  /// router's part of what one machine still does, but not below `min_floor`; under one attempt where many
  /// share it.
  void divide_among(int routers, double min_floor = 1);

  /// Whether so much more may go out. A limit under one is a share of the time: after each use it rests.
  /// Prevents floors of one each that sum to many times what a source can do, where hundreds of routers share
  /// it.
  bool admits(double weight, Seconds now) const;
  /// An attempt begins.
  void reserve(double weight);
  /// `took`: how long it was in flight.
  void release(double weight, Seconds took, Seconds now);

  /// An answer came: `lateness` is 0 for one in time, up to 1 for one surely late. An answer without queueing
  /// lets a start find its size in seconds; where that is a guess the limit would overshoot.
  void record_answer(double lateness, Seconds now, Queueing queueing = Queueing::possible);
  /// An attempt ended without an answer: that speaks of congestion only where answers come late too.
  void record_lost(Seconds now);
  /// Reduces the limit, at most once for one congestion.
  void reduce(Seconds now);

  /// A cold endpoint's limit: it begins at `initial` and grows by grow() with each answer.
  void restart_at(double initial);
  /// Grows the limit by so much, without a bound.
  void grow(double by) { limit_ += by; }
  /// Raises the limit to one reached before, unless it was reduced since.
  void raise_to(double limit);

  double limit() const { return limit_; }            ///< in attempts of mean work
  double in_flight() const { return in_flight_; }    ///< of that
  double late_share() const { return late_share_; }  ///< of the answers of late, 0 to 1
  bool congested() const { return congested_; }      ///< it was reduced once, or is cold

 private:
  double limit_ = Bounds{}.initial;
  double floor_ = Bounds{}.floor;
  double in_flight_ = 0;
  double late_share_ = 0;
  bool was_half_used_ = false;  // when the last one ended: more would have been used
  bool congested_ = false;      // until then it may grow by one with each answer
  Seconds reduced_at_ = kLongAgo;
  Seconds paused_until_ = 0;
  Seconds last_answer_at_ = 0;
};

}  // namespace walkpaddle::routing
