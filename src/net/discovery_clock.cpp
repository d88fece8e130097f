#include "net/discovery_clock.h"

#include <algorithm>

namespace walkpaddle::net {

void DiscoveryClock::begin_initial_events(Seconds newest_stamp, Seconds now) {
  reads_initial_events_ = true;
  last_received_at_ = now;
  if (newest_stamp > 0) offset_ = now - newest_stamp;
}

void DiscoveryClock::observe(Seconds stamp, Seconds now) {
  if (!offset_ || now - stamp < *offset_) offset_ = now - stamp;
}

Seconds DiscoveryClock::purged_at(Seconds stamp, Seconds now) {
  if (!reads_initial_events_) {
    observe(stamp, now);
    return now;
  }
  return offset_ ? std::min(now, stamp + *offset_) : now;
}

Seconds DiscoveryClock::started_at(int endpoint, Seconds stamp, Seconds now) {
  // An event counts as delivered this long after it happened, whether or not it arrived (the protocol page,
  // "Figures").
  constexpr Seconds kMaxEventDelay = 7;
  if (stamp <= 0) return 0;
  auto& start = starts_[endpoint];
  if (start.stamp == stamp) return start.at;
  if (!reads_initial_events_) observe(stamp, now);
  Seconds at = offset_ ? std::min(now, stamp + *offset_) : now;
  // The event seems older than a live event can be: discovery's clock was set back.
  if (!reads_initial_events_ && at < last_received_at_ - kMaxEventDelay) {
    at = now;
    offset_ = now - stamp;
  }
  start = {stamp, at};
  return at;
}

}  // namespace walkpaddle::net
