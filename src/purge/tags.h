/// \file
/// Set-associative cache of per-object data: the tags that responses named for the object, and the newest
/// purge by pattern that matches its name. Records are evicted, so a missing record means unknown.
///
/// Threads: not thread-safe.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "base/time.h"

namespace walkpaddle::purge {

/// Tags and pattern matches, keyed by object.
class TagCache {
 public:
  /// Tags and pattern matches of one object.
  struct Record {
    static constexpr std::size_t kMaxTags =
        6;  ///< tags stored; the tags of an object with more count as unknown

    std::uint64_t object = 0;                    ///< stable hash of its name
    std::array<std::uint64_t, kMaxTags> tags{};  ///< stable hashes; the first tag_count are set
    Seconds used_at = 0;                         ///< time of last use; 0 if the record is free
    Seconds pattern_valid_since = 0;             ///< newest valid_since of the matching patterns; 0 for none
    std::uint64_t patterns_matched = 0;          ///< PurgePatterns::added() when patterns were last matched
    std::uint8_t tag_count = 0;                  ///< number of tags stored, at most kMaxTags
    bool tags_reported = false;                  ///< whether any response has named its tags
    bool too_many_tags = false;                  ///< whether it has more than kMaxTags tags

    /// Whether all_tags() is complete.
    bool tags_known() const { return tags_reported && !too_many_tags; }
    /// The tags stored.
    std::span<const std::uint64_t> all_tags() const { return {tags.data(), tag_count}; }
  };

  /// Capacity is `objects`, rounded up to whole sets. Allocates on first use.
  explicit TagCache(std::size_t objects) : sets_(std::max<std::size_t>(1, (objects + kWays - 1) / kWays)) {}

  /// The object's record, or null. The pointer is valid until the next call that may add a record.
  const Record* find(std::uint64_t object) const;
  /// The object's record. A new record replaces the least recently used one of its set.
  Record& find_or_add(std::uint64_t object, Seconds now);
  /// Adds tags to the object's record. Earlier tags stay, because older copies may still carry them.
  void add_tags(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now);

 private:
  static constexpr std::size_t kWays = 4;

  std::size_t first_of_set(std::uint64_t object) const { return (object >> 20) % sets_ * kWays; }

  const std::size_t sets_;
  std::vector<Record> records_;
};

}  // namespace walkpaddle::purge
