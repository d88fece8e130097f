/// \file
/// What is known of an object beside its name: the tags that its answers named, and the newest purge by
/// pattern that matched it. A set-associative cache: bounded, and what it has no record of is unknown.
///
/// Threads: one at a time.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "base/time.h"

namespace walkpaddle::purge {

/// Tags and pattern matches by object.
class TagCache {
 public:
  /// What is known of one object.
  struct Record {
    static constexpr std::size_t kMaxTags = 6;  ///< the tags of an object with more count as unknown

    std::uint64_t object = 0;                    ///< stable hash of its name
    std::array<std::uint64_t, kMaxTags> tags{};  ///< stable hashes, the first tag_count of them
    Seconds used_at = 0;                         ///< 0: the record is free
    Seconds pattern_valid_since = 0;     ///< newest purge by pattern of those matched so far; 0 for none
    std::uint64_t patterns_matched = 0;  ///< how many patterns were matched against it
    std::uint8_t tag_count = 0;          ///< at most kMaxTags
    bool tags_reported = false;          ///< some answer said what its tags are
    bool too_many_tags = false;          ///< there are more than kMaxTags

    /// Whether all_tags() is all that it may have.
    bool tags_known() const { return tags_reported && !too_many_tags; }
    /// The tags that were reported.
    std::span<const std::uint64_t> all_tags() const { return {tags.data(), tag_count}; }
  };

  /// For about `objects`, rounded up to whole sets; takes no memory before the first use.
  explicit TagCache(std::size_t objects) : sets_(std::max<std::size_t>(1, (objects + kWays - 1) / kWays)) {}

  /// The object's record, or null. Good until the next call that may add one.
  const Record* find(std::uint64_t object) const;
  /// The object's record; a new one takes the place of the least recently used of its set.
  Record& find_or_add(std::uint64_t object, Seconds now);
  /// Adds to the tags that are known: copies of some age may still have those reported before.
  void learn(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now);

 private:
  static constexpr std::size_t kWays = 4;

  std::size_t first_of_set(std::uint64_t object) const { return (object >> 20) % sets_ * kWays; }

  const std::size_t sets_;
  std::vector<Record> records_;
};

}  // namespace walkpaddle::purge
