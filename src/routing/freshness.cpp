#include "routing/freshness.h"

#include <algorithm>

namespace walkpaddle::routing {

Seconds copy_age_limit(const FreshnessBounds& bounds, Seconds now) {
  constexpr Seconds kShortest = 0.001;
  constexpr Seconds kDecisionToSending = 0.005;  // the ticks between them
  if (bounds.copies_since <= 0 && bounds.oldest_anywhere <= 0) return 0;
  const Seconds since_purge = bounds.copies_since > 0 ? now - bounds.copies_since : kNever;
  const Seconds oldest = bounds.oldest_anywhere > 0 ? bounds.oldest_anywhere : kNever;
  const Seconds limit = std::max(kShortest, std::min(since_purge, oldest) - kDecisionToSending);
  return bounds.class_max_age > 0 ? std::min(bounds.class_max_age, limit) : limit;
}

}  // namespace walkpaddle::routing
