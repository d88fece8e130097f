#include "membership/suspicion.h"

#include <algorithm>
#include <cmath>

namespace walkpaddle::membership {

Seconds suspicion_timeout(const Bounds& bounds, int members, int confirmations) {
  const double size_factor = std::max(1.0, std::log10(static_cast<double>(members)));
  const Seconds shortest = bounds.suspicion_multiplier * size_factor * bounds.probe_interval;
  const Seconds longest = bounds.max_suspicion_multiplier * shortest;
  const double confirmers = std::max(0.0, static_cast<double>(confirmations));
  const double shortening = std::log(confirmers + 1) / std::log(bounds.confirmations + 1.0);
  return std::max(shortest, longest - (longest - shortest) * shortening);
}

}  // namespace walkpaddle::membership
