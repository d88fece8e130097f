#include "purge/purge_index.h"

#include <algorithm>

#include "base/hash.h"
#include "base/text.h"

namespace walkpaddle::purge {

void PurgeIndex::NewestByKey::add(std::uint64_t key, Seconds valid_since, std::size_t max_entries) {
  newest_ = std::max(newest_, valid_since);
  auto& current = by_key_.try_emplace(key, 0).first->second;
  if (valid_since <= current) return;
  current = valid_since;
  order_.emplace_back(valid_since, key);
  // A key that is purged repeatedly has several elements in order_, so its length is bounded as well.
  const std::size_t max_order = 4 * max_entries;
  while (by_key_.size() > max_entries || order_.size() > max_order) remove_oldest(Removal::fold);
}

void PurgeIndex::NewestByKey::remove_oldest(Removal removal) {
  const auto [valid_since, key] = order_.front();
  order_.pop_front();
  const auto it = by_key_.find(key);
  if (it == by_key_.end() || it->second != valid_since) return;  // order_ has a newer element for the key
  by_key_.erase(it);
  if (removal == Removal::expire) return;
  if (folded_.empty()) folded_.resize(kSlots);
  auto& coarse = folded_[slot(key)];
  coarse = std::max(coarse, valid_since);
}

Seconds PurgeIndex::NewestByKey::newest(std::uint64_t key) const {
  const Seconds coarse = folded_.empty() ? 0 : folded_[slot(key)];
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? coarse : std::max(coarse, it->second);
}

void PurgeIndex::NewestByKey::trim(Seconds expired_before) {
  for (std::size_t n = 0; n < kMaxDropsPerTrim && !order_.empty() && order_.front().first < expired_before;
       ++n)
    remove_oldest(Removal::expire);
}

PurgeIndex::PurgeIndex(const Limits& limits) : limits_(limits), object_tags_(limits.objects) {}

void PurgeIndex::add_pattern(std::string_view pattern, Seconds valid_since) {
  patterns_.add(pattern, valid_since);
  add_all(patterns_.trim(0));
}

void PurgeIndex::add_all(Seconds valid_since) { all_valid_since_ = std::max(all_valid_since_, valid_since); }

void PurgeIndex::add(const PurgeEntry& entry) {
  switch (entry.kind) {
    case PurgeKind::object:
      return add_object(stable_hash(entry.target), entry.valid_since);
    case PurgeKind::group:
      return add_group(parse<std::uint32_t>(entry.target, "group"), entry.valid_since);
    case PurgeKind::tag:
      return add_tag(stable_hash(entry.target), entry.valid_since);
    case PurgeKind::pattern:
      return add_pattern(entry.target, entry.valid_since);
    case PurgeKind::all:
      return add_all(entry.valid_since);
  }
}

Seconds PurgeIndex::valid_since(std::uint64_t object, std::uint32_t group, std::string_view name,
                                Seconds now) {
  Seconds newest = std::max({all_valid_since_, objects_.newest(object), groups_.newest(group)});
  const auto* record = object_tags_.find(object);
  if (tags_.newest() > newest) {
    // An object whose tags are unknown may have any tag, so it is treated as covered by the newest tag purge.
    const bool known = record != nullptr && record->tags_known();
    newest = std::max(newest, known ? valid_since_for_tags(record->all_tags(), now) : tags_.newest());
  }
  if (patterns_.added() > 0 && patterns_.size() > 0)
    newest = std::max(newest, newest_pattern(object, name, now));
  return now - newest > limits_.max_age ? 0 : newest;
}

// Matches only the patterns added since the object's last lookup.
Seconds PurgeIndex::newest_pattern(std::uint64_t object, std::string_view name, Seconds now) {
  auto& record = object_tags_.find_or_add(object, now);
  if (record.patterns_matched < patterns_.added()) {
    record.pattern_valid_since =
        std::max(record.pattern_valid_since, patterns_.newest_match(name, record.patterns_matched));
    record.patterns_matched = patterns_.added();
  }
  return record.pattern_valid_since;
}

Seconds PurgeIndex::valid_since_for_tags(std::span<const std::uint64_t> tags, Seconds now) const {
  Seconds newest = 0;
  for (const auto tag : tags) newest = std::max(newest, tags_.newest(tag));
  return now - newest > limits_.max_age ? 0 : newest;
}

void PurgeIndex::record_tags(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now) {
  object_tags_.add_tags(object, tags, now);
}

void PurgeIndex::trim(Seconds now) {
  const Seconds expired_before = now - limits_.max_age;
  objects_.trim(expired_before);
  groups_.trim(expired_before);
  tags_.trim(expired_before);
  add_all(patterns_.trim(expired_before));
}

}  // namespace walkpaddle::purge
