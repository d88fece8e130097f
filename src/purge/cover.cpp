#include "purge/cover.h"

#include <algorithm>

#include "base/text.h"
#include "config/settings.h"

namespace walkpaddle::purge {

void Cover::Keyed::add(std::uint64_t key, Seconds from, std::size_t most) {
  newest_ = std::max(newest_, from);
  auto& at = held_.try_emplace(key, 0).first->second;
  if (from <= at) return;
  at = from;
  order_.emplace_back(from, key);
  // Purged again and again, a key stands several times in the order: that is bounded too.
  while (held_.size() > most || order_.size() > 4 * most) pop(true);
}

void Cover::Keyed::pop(bool fold) {
  const auto [from, key] = order_.front();
  order_.pop_front();
  const auto it = held_.find(key);
  if (it == held_.end() || it->second != from) return;  // a newer one stands behind
  held_.erase(it);
  if (!fold) return;
  if (folded_.empty()) folded_.resize(kSlots);
  auto& at = folded_[slot(key)];
  at = std::max(at, from);
}

Seconds Cover::Keyed::newest(std::uint64_t key) const {
  const Seconds coarse = folded_.empty() ? 0 : folded_[slot(key)];
  const auto it = held_.find(key);
  return it == held_.end() ? coarse : std::max(coarse, it->second);
}

void Cover::Keyed::trim(Seconds least) {
  for (std::size_t n = 0; n < kATrim && !order_.empty() && order_.front().first < least; ++n) pop(false);
}

Cover::Cover(const Bounds& bounds) : bounds_(bounds), known_(bounds.objects) {}

void Cover::tag(std::uint64_t hash, Seconds from) { tags_.add(hash, from, bounds_.most); }

void Cover::pattern(std::string_view pattern, Seconds from) {
  patterns_.add(pattern, from);
  all(patterns_.trim(0));
}

void Cover::add(const Entry& e) {
  switch (e.kind) {
    case Kind::object:
      return object(stable_hash(e.what), e.from);
    case Kind::group:
      return group(parse<std::uint32_t>(e.what, "group"), e.from);
    case Kind::tag:
      return tag(stable_hash(e.what), e.from);
    case Kind::pattern:
      return pattern(e.what, e.from);
    case Kind::all:
      return all(e.from);
  }
}

Seconds Cover::newest(std::uint64_t object, std::uint32_t group, std::string_view name, Seconds now) {
  Seconds from = std::max({all_, objects_.newest(object), groups_.newest(group)});
  const auto* known = known_.find(object);
  if (tags_.newest() > from) {
    // Unknown tags may be any: stricter, never laxer.
    from = std::max(from,
                    known != nullptr && known->tags_known() ? newest_of(known->all(), now) : tags_.newest());
  }
  if (patterns_.added() > 0 && patterns_.size() > 0) {
    auto& k = known_.at(object, now);
    if (k.patterns_seen < patterns_.added()) {
      k.pattern_from = std::max(k.pattern_from, patterns_.newest(name, k.patterns_seen));
      k.patterns_seen = patterns_.added();
    }
    from = std::max(from, k.pattern_from);
  }
  return now - from > bounds_.life ? 0 : from;
}

Seconds Cover::newest_of(std::span<const std::uint64_t> tags, Seconds now) const {
  Seconds from = 0;
  for (const auto tag : tags) from = std::max(from, tags_.newest(tag));
  return now - from > bounds_.life ? 0 : from;
}

void Cover::learn(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now) {
  known_.learn(object, tags, now);
}

void Cover::trim(Seconds now) {
  const Seconds least = now - bounds_.life;
  objects_.trim(least), groups_.trim(least), tags_.trim(least);
  all(patterns_.trim(least));
}

}  // namespace walkpaddle::purge
