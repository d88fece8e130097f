#include "replica/clock.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace walkpaddle::replica {

std::int64_t Clock::micros(Seconds physical) { return std::llround(std::max(0.0, physical) * 1e6); }

Stamp Clock::tick(Seconds physical) {
  const auto pt = micros(physical);
  if (pt > last_.micros) {
    last_ = {pt, 0};
  } else if (last_.count == std::numeric_limits<std::uint32_t>::max()) {
    last_ = {last_.micros + 1, 0};  // four billion events in a microsecond: the clock steps on
  } else {
    ++last_.count;
  }
  return last_;
}

std::optional<Stamp> Clock::heard(Stamp remote, Seconds physical) {
  const auto pt = micros(physical);
  if (remote.micros > pt + micros(most_ahead_)) return std::nullopt;
  const auto top = std::max({last_.micros, remote.micros, pt});
  std::uint32_t count = 0;
  if (top == last_.micros && top == remote.micros)
    count = std::max(last_.count, remote.count);
  else if (top == last_.micros)
    count = last_.count;
  else if (top == remote.micros)
    count = remote.count;
  else
    return last_ = {top, 0};
  if (count == std::numeric_limits<std::uint32_t>::max()) return last_ = {top + 1, 0};
  return last_ = {top, count + 1};
}

}  // namespace walkpaddle::replica
