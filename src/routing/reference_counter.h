// The design's reference counters (docs/design.md): how often this router's own requests lately asked for an
// object, halved as time goes. Beside them stands what else is remembered of an object: its size as last
// answered, who lately hit, and how many of its requests ended without an answer and may come again. Bounded:
// a table of 4,096 entries in sets of four; a full set gives up its lowest count, of equals the one longest
// unused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/time.h"

namespace walkpaddle::routing {

constexpr Seconds kLongAgo = -1e15;

class ReferenceCounters {
 public:
  struct Entry {
    std::uint64_t object = 0;
    float count = 0, kbytes = 0;  // its size as last answered, 0 while untold
    int sib = -1, owed = 0;
    Seconds sib_at = kLongAgo, owed_at = kLongAgo, used = kLongAgo;
  };
  // A set of four that is full gives up its lowest count, of equals the one longest unused.
  Entry& at(std::uint64_t object, Seconds now) {
    auto* set = &table_[(object >> 20) % kSets * kWays];
    auto* worst = set;
    for (auto* e = set; e != set + kWays; ++e) {
      if (e->object == object) return e->used = now, *e;
      if (std::pair(e->count, e->used) < std::pair(worst->count, worst->used)) worst = e;
    }
    *worst = {.object = object, .used = now};
    return *worst;
  }
  const std::vector<Entry>& all() const { return table_; }
  void halve() {
    for (auto& e : table_) e.count /= 2;
  }

 private:
  static constexpr std::size_t kSets = 1024, kWays = 4;  // minutes of objects at some tens of txns a second
  std::vector<Entry> table_ = std::vector<Entry>(kSets * kWays);
};

}  // namespace walkpaddle::routing
