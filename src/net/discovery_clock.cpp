#include "net/discovery_clock.h"

#include <algorithm>

namespace walkpaddle::net {

void DiscoveryClock::begin_known(Seconds newest_stamp, Seconds now) {
  known_ = true, heard_ = now;
  if (newest_stamp > 0) ahead_ = now - newest_stamp;
}

void DiscoveryClock::observe(Seconds stamp, Seconds now) {
  if (!ahead_ || now - stamp < *ahead_) ahead_ = now - stamp;
}

Seconds DiscoveryClock::purged_at(Seconds stamp, Seconds now) {
  if (!known_) {
    observe(stamp, now);
    return now;
  }
  return ahead_ ? std::min(now, stamp + *ahead_) : now;
}

Seconds DiscoveryClock::started_at(int member, Seconds stamp, Seconds now) {
  // Whether or not it arrived, an event counts as told so long after it happened (the protocol page,
  // "Figures").
  constexpr Seconds kToldAtLatest = 7;
  if (stamp <= 0) return 0;
  auto& start = starts_[member];
  if (start.stamp == stamp) return start.at;
  if (!known_) observe(stamp, now);
  Seconds at = ahead_ ? std::min(now, stamp + *ahead_) : now;
  // Older than it can be: discovery's clock was set back since.
  if (!known_ && at < heard_ - kToldAtLatest) at = now, ahead_ = now - stamp;
  start = {stamp, at};
  return at;
}

}  // namespace walkpaddle::net
