// How many attempts, or how much work, may be out at an endpoint, a source or a link at a time: grown by one
// with each capful of answers in time, cut by a share when too many come late or are turned away (additive
// increase, multiplicative decrease; Chiu and Jain, 1989). Prevents crowding of any cause: places, links in
// and out, fills. Units: attempts of mean work; seconds on the router's clock.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace walkpaddle::routing {

struct ConcurrencyLimit {
  static constexpr double kTooMany = 0.15;  // late; sizes vary: a tenth looks late on a good day
  double cap = 16, used = 0, late = 0, least = 4;
  bool full = false;     // was so by half when the last hop ended: more would have been used
  bool crowded = false;  // since it was cut or is cold: until then it may grow by one with each answer
  Seconds cut_at = -1e15, rests_until = 0, judged_at = 0;
  // Each of many routers starts with its part of a small machine's work: three hops at least, or objects
  // move. Cut, it comes down to its part of what one machine still does, under one hop where many share it.
  void share(int routers, double floor = 1) {
    cap = std::clamp(32.0 / routers, 1.5, cap);
    least = std::clamp(8.0 / routers, floor, least);
  }
  // Under one the limit is a share of the time: after each use it rests. Guards against floors of one each
  // that sum to many times what a source can do, where hundreds of routers share it.
  bool room(double weight, Seconds now) const {
    return used <= 0 ? now >= rests_until : used + weight <= cap;
  }
  void hold(double weight, int sign, Seconds took, Seconds now) {
    used += sign * weight;
    if (used < 1e-6) used = 0;  // what rounding leaves is no hop
    if (sign > 0) return;
    constexpr Seconds kMost = 20;  // some clients' patience
    full = used + weight > cap / 2;
    if (cap < 1) rests_until = now + std::min(kMost, (1 / cap - 1) * took);
  }
  // Lost answers alone cut nothing: a hop without one speaks of a crowd only where answers come late too.
  void lost(Seconds now) {
    if (late > kTooMany / 3) answered(1, now);
  }
  // quick: no queue, by a known own time. Then a start finds its size in seconds; a guess would overshoot.
  void answered(double lateness, Seconds now, bool quick = false) {
    // Of ten answers, or, where hundreds of routers see few each, of ten seconds; one alone is never the
    // half.
    constexpr double kLately = 0.1;
    constexpr Seconds kOver = 10;
    late += (lateness - late) * std::clamp((now - judged_at) / kOver, kLately, 0.3);
    judged_at = now;
    if (late > kTooMany)
      cut(now);
    else if (lateness <= 0 && full)
      cap += cap < 1 ? 0.1 : quick && !crowded ? 1 : 1 / cap;
  }
  void cut(Seconds now) {
    constexpr Seconds kPause = 0.5;  // one cut for one crowding: about an answer's time
    crowded = true;
    if (now - cut_at < kPause) return;
    cut_at = now, cap = std::max(least, cap * 0.8);
  }
};

}  // namespace walkpaddle::routing
