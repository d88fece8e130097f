#include "routing/freshness.h"

#include <algorithm>

namespace walkpaddle::routing {

Seconds copy_age_limit(const FreshnessBounds& bounds, Seconds now) {
  constexpr Seconds kMinAge = 0.001;
  constexpr Seconds kSendingDelay = 0.005;  // the ticks between them
  if (bounds.valid_since <= 0 && bounds.max_copy_age <= 0) return 0;
  const Seconds since_purge = bounds.valid_since > 0 ? now - bounds.valid_since : kNever;
  const Seconds oldest = bounds.max_copy_age > 0 ? bounds.max_copy_age : kNever;
  const Seconds limit = std::max(kMinAge, std::min(since_purge, oldest) - kSendingDelay);
  return bounds.class_max_age > 0 ? std::min(bounds.class_max_age, limit) : limit;
}

}  // namespace walkpaddle::routing
