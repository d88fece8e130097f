/// \file
/// Index of the purges in force by what they cover. For an object it gives the time before which its copies
/// are stale. Memory is bounded: above the limit the oldest purges of a kind are folded into hash slots,
/// which may cover more than the purges did but never less. No I/O.
///
/// Threads: not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "purge/entry.h"
#include "purge/patterns.h"
#include "purge/tags.h"

namespace walkpaddle::purge {

/// Tells which copies of an object are stale.
class PurgeIndex {
 public:
  /// Limits on time and memory.
  struct Limits {
    Seconds max_age = 7;                  ///< greatest age of a copy, so also how long a purge is in force
    std::size_t entries_per_kind = 4096;  ///< above it the oldest are folded into slots
    std::size_t objects = 16384;          ///< objects whose tags and pattern matches are cached
  };

  /// Creates an empty index.
  explicit PurgeIndex(const Limits& limits);

  /// Purges one object, by its stable hash.
  void add_object(std::uint64_t object, Seconds valid_since) {
    objects_.add(object, valid_since, limits_.entries_per_kind);
  }
  /// Purges a group.
  void add_group(std::uint32_t group, Seconds valid_since) {
    groups_.add(group, valid_since, limits_.entries_per_kind);
  }
  /// Purges a tag, by its stable hash.
  void add_tag(std::uint64_t tag, Seconds valid_since) {
    tags_.add(tag, valid_since, limits_.entries_per_kind);
  }
  /// Purges the objects whose names match a pattern that PurgePatterns::rejection_reason() accepts.
  void add_pattern(std::string_view pattern, Seconds valid_since);
  /// Purges everything.
  void add_all(Seconds valid_since);
  /// Purges what the entry covers. Throws InputError if it is a group purge whose target is not a number.
  void add(const PurgeEntry& entry);

  /// Time before which copies of the object are stale, 0 if no purge in force covers it. `name` is used only
  /// to match patterns.
  Seconds valid_since(std::uint64_t object, std::uint32_t group, std::string_view name, Seconds now);
  /// Time before which a copy with these tags is stale, 0 if no purge in force covers them.
  Seconds valid_since_for_tags(std::span<const std::uint64_t> tags, Seconds now) const;

  /// Records tags that a response named for the object.
  void record_tags(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now);

  /// Drops purges no longer in force, a bounded number for each call.
  void trim(Seconds now);

  /// Number of purges held individually; those folded into slots are not counted.
  std::size_t size() const { return objects_.size() + groups_.size() + tags_.size() + patterns_.size(); }

 private:
  // The newest purge of each key.
  class NewestByKey {
   public:
    void add(std::uint64_t key, Seconds valid_since, std::size_t max_entries);
    Seconds newest(std::uint64_t key) const;
    Seconds newest() const { return newest_; }  // over all keys
    void trim(Seconds expired_before);
    std::size_t size() const { return by_key_.size(); }

   private:
    enum class Removal { expire, fold };  // fold: keep the time in the key's slot, shared with other keys

    static constexpr std::size_t kSlots = 1024;
    static constexpr std::size_t kMaxDropsPerTrim = 4096;

    static std::size_t slot(std::uint64_t key) { return key >> 7 & (kSlots - 1); }
    void remove_oldest(Removal removal);

    std::unordered_map<std::uint64_t, Seconds> by_key_;
    std::deque<std::pair<Seconds, std::uint64_t>> order_;  // time and key, in order of arrival
    std::vector<Seconds> folded_;                          // newest time by slot; empty until the first fold
    Seconds newest_ = 0;
  };

  Seconds newest_pattern(std::uint64_t object, std::string_view name, Seconds now);

  const Limits limits_;
  NewestByKey objects_;
  NewestByKey groups_;
  NewestByKey tags_;
  PurgePatterns patterns_;
  TagCache object_tags_;
  Seconds all_valid_since_ = 0;
};

}  // namespace walkpaddle::purge
