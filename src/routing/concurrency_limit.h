/// \file
/// Adaptive limit on the attempts in flight at an endpoint, or on the fills at a source or over a link:
/// additive increase, multiplicative decrease (Chiu and Jain, 1989). The limit grows by about one for each
/// limit's worth of answers in time and is reduced by a factor when too many are late or attempts are
/// rejected. This keeps any shared resource from congesting: connections, network links, fill capacity.
#pragma once

#include "base/time.h"

namespace walkpaddle::routing {

/// One adaptive limit. Amounts are in attempts of mean work.
class ConcurrencyLimit {
 public:
  /// Share of late answers above which the limit is reduced. Since object sizes vary, about a tenth of the
  /// answers look late without congestion.
  static constexpr double kMaxLateShare = 0.15;

  /// Initial value and floor of a limit.
  struct Bounds {
    double initial = 16;  ///< initial limit
    double floor = 4;     ///< reductions stop here
  };
  /// Whether an answer may have waited in a queue, or is known not to have.
  enum class Queueing { possible, none };

  ConcurrencyLimit() = default;
  /// Starts at `bounds.initial`.
  explicit ConcurrencyLimit(const Bounds& bounds) : limit_(bounds.initial), floor_(bounds.floor) {}

  /// Reduces the initial limit and the floor to this router's share of a resource that `routers` share. The
  /// limit becomes a share of what a small machine has in flight, but no less than a minimum, below which
  /// objects would move between caches. The floor becomes a share of what one machine can always handle, but
  /// no less than `min_floor`, which is under one attempt where many routers share the resource.
  void divide_among(int routers, double min_floor = 1);

  /// Whether `weight` more may be in flight. One attempt is always admitted when none is in flight, except
  /// that a limit under one pauses after each attempt, so that the mean in flight matches the limit. Without
  /// the pause, hundreds of routers with a floor of one each would exceed what a shared source can handle.
  bool admits(double weight, Seconds now) const;
  /// Counts an attempt that begins.
  void reserve(double weight);
  /// Counts an attempt that ends, after `took` seconds in flight.
  void release(double weight, Seconds took, Seconds now);

  /// Records an answer. `lateness`: 0 if it was in time, up to 1 if it was certainly late. An answer without
  /// queueing grows a limit that was never reduced by one, which finds the capacity within seconds of a
  /// start. Where queueing is merely unlikely that growth would overshoot.
  void record_answer(double lateness, Seconds now, Queueing queueing = Queueing::possible);
  /// Records an attempt that ended without an answer. It counts as late only where other answers are late
  /// too.
  void record_lost(Seconds now);
  /// Reduces the limit, at most once per episode of congestion.
  void reduce(Seconds now);

  /// Restarts the limit at `initial` for a cold endpoint; it then grows by grow().
  void restart_at(double initial);
  /// Grows the limit by `by`, without an upper bound.
  void grow(double by) { limit_ += by; }
  /// Raises the limit to a value reached earlier, unless it was reduced or restarted since.
  void raise_to(double limit);

  double limit() const { return limit_; }            ///< current limit
  double in_flight() const { return in_flight_; }    ///< amount in flight
  double late_share() const { return late_share_; }  ///< moving average of lateness, 0 to 1
  bool congested() const { return congested_; }      ///< was ever reduced or restarted cold

 private:
  double limit_ = Bounds{}.initial;
  double floor_ = Bounds{}.floor;
  double in_flight_ = 0;
  double late_share_ = 0;
  bool was_half_used_ = false;  // at the last release: only a limit in use may grow
  bool congested_ = false;      // ends the fast growth by one per answer
  Seconds reduced_at_ = kLongAgo;
  Seconds paused_until_ = 0;  // used by limits under one
  Seconds last_answer_at_ = 0;
};

}  // namespace walkpaddle::routing
