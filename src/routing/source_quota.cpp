#include "routing/source_quota.h"

namespace walkpaddle::routing {

bool SourceQuota::admits(std::uint64_t source_hash) {
  constexpr std::uint8_t kMaxHandled = 8;  // more than a sound source sends in half a millisecond
  auto& handled = handled_[source_hash % kBuckets];
  if (handled == kMaxHandled) return false;
  ++handled;
  return true;
}

}  // namespace walkpaddle::routing
