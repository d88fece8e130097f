#include "purge/tags.h"

#include <algorithm>

namespace walkpaddle::purge {

const Tags::Known* Tags::find(std::uint64_t object) const {
  if (table_.empty()) return nullptr;
  const auto* set = &table_[(object >> 20) % sets_ * kWays];
  for (const auto* k = set; k != set + kWays; ++k)
    if (k->object == object && k->used > 0) return k;
  return nullptr;
}

Tags::Known& Tags::at(std::uint64_t object, Seconds now) {
  if (table_.empty()) table_.resize(sets_ * kWays);
  auto* set = &table_[(object >> 20) % sets_ * kWays];
  auto* oldest = set;
  for (auto* k = set; k != set + kWays; ++k) {
    if (k->object == object && k->used > 0) return k->used = now, *k;
    if (k->used < oldest->used) oldest = k;
  }
  *oldest = {};
  oldest->object = object, oldest->used = now;
  return *oldest;
}

void Tags::learn(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now) {
  auto& k = at(object, now);
  k.told = true;
  for (const auto tag : tags) {
    if (std::ranges::find(k.all(), tag) != k.all().end()) continue;
    if (k.count == Known::kMost)
      k.too_many = true;
    else
      k.tags[k.count++] = tag;
  }
}

}  // namespace walkpaddle::purge
