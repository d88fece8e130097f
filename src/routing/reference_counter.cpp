#include "routing/reference_counter.h"

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

void ReferenceCounters::halve() {
  for (auto& entry : table_) entry.count /= 2;
}

}  // namespace walkpaddle::routing
