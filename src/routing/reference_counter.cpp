#include "routing/reference_counter.h"

#include <algorithm>
#include <utility>

namespace walkpaddle::routing {

ReferenceCounters::Entry& ReferenceCounters::at(std::uint64_t object, Seconds now) {
  constexpr int kSetBits = 20;  // above those that pick an endpoint
  auto* const set = &table_[(object >> kSetBits) % kSets * kWays];
  auto* worst = set;
  for (auto* entry = set; entry != set + kWays; ++entry) {
    if (entry->object == object) {
      entry->used_at = now;
      return *entry;
    }
    if (std::pair(entry->count, entry->used_at) < std::pair(worst->count, worst->used_at)) worst = entry;
  }
  *worst = {.object = object, .used_at = now};
  return *worst;
}

void ReferenceCounters::Entry::expect_retry(Seconds now) {
  constexpr int kMaxExpected = 20;
  expected_retries = std::min(expected_retries + 1, kMaxExpected);
  retry_expected_at = now;
}

bool ReferenceCounters::Entry::retry_expected(Seconds now) const {
  constexpr Seconds kRetryWindow = 2;
  return expected_retries > 0 && now - retry_expected_at < kRetryWindow;
}

void ReferenceCounters::Entry::count_retry() {
  if (expected_retries > 0) --expected_retries;
}

void ReferenceCounters::halve() {
  for (auto& entry : table_) entry.count /= 2;
}

}  // namespace walkpaddle::routing
