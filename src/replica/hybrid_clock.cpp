#include "replica/hybrid_clock.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace walkpaddle::replica {

namespace {

constexpr auto kMaxCount = std::numeric_limits<std::uint32_t>::max();

// The next timestamp. If the count overflows, after 2^32 events in a microsecond, the physical part is
// advanced.
HybridTimestamp successor(std::int64_t micros, std::uint32_t count) {
  if (count == kMaxCount) return {micros + 1, 0};
  return {micros, count + 1};
}

}  // namespace

std::int64_t HybridClock::micros(Seconds physical) { return std::llround(std::max(0.0, physical) * 1e6); }

HybridTimestamp HybridClock::tick(Seconds physical) {
  const auto physical_micros = micros(physical);
  if (physical_micros > last_.micros)
    last_ = {physical_micros, 0};
  else
    last_ = successor(last_.micros, last_.count);
  return last_;
}

std::optional<HybridTimestamp> HybridClock::receive(HybridTimestamp remote, Seconds physical) {
  const auto physical_micros = micros(physical);
  if (remote.micros > physical_micros + micros(max_ahead_)) return std::nullopt;
  const auto latest = std::max({last_.micros, remote.micros, physical_micros});
  if (latest == last_.micros && latest == remote.micros)
    last_ = successor(latest, std::max(last_.count, remote.count));
  else if (latest == last_.micros)
    last_ = successor(latest, last_.count);
  else if (latest == remote.micros)
    last_ = successor(latest, remote.count);
  else
    last_ = {latest, 0};
  return last_;
}

}  // namespace walkpaddle::replica
