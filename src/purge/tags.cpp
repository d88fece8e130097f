#include "purge/tags.h"

namespace walkpaddle::purge {

const TagCache::Record* TagCache::find(std::uint64_t object) const {
  if (records_.empty()) return nullptr;
  const auto* set = &records_[first_of_set(object)];
  for (const auto* record = set; record != set + kWays; ++record)
    if (record->object == object && record->used_at > 0) return record;
  return nullptr;
}

TagCache::Record& TagCache::find_or_add(std::uint64_t object, Seconds now) {
  if (records_.empty()) records_.resize(sets_ * kWays);
  auto* set = &records_[first_of_set(object)];
  auto* oldest = set;
  for (auto* record = set; record != set + kWays; ++record) {
    if (record->object == object && record->used_at > 0) {
      record->used_at = now;
      return *record;
    }
    if (record->used_at < oldest->used_at) oldest = record;
  }
  *oldest = {};
  oldest->object = object;
  oldest->used_at = now;
  return *oldest;
}

void TagCache::add_tags(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now) {
  auto& record = find_or_add(object, now);
  record.tags_reported = true;
  for (const auto tag : tags) {
    const auto known = record.all_tags();
    if (std::ranges::find(known, tag) != known.end()) continue;
    if (record.tag_count == Record::kMaxTags)
      record.too_many_tags = true;
    else
      record.tags[record.tag_count++] = tag;
  }
}

}  // namespace walkpaddle::purge
