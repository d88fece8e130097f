/// \file
/// The purges that are in force, by what they cover: for an object, the time before which its copies are
/// stale. Bounded: past a bound the oldest purges of a kind fold into slots by hash, which cover more, never
/// less. No I/O.
///
/// Threads: one at a time.
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

/// Answers which copies of an object are stale.
class PurgeIndex {
 public:
  /// What the index may take.
  struct Limits {
    Seconds max_age = 7;                  ///< no copy is older: for so long a purge is in force
    std::size_t entries_per_kind = 4096;  ///< before the oldest fold into slots
    std::size_t objects = 16384;          ///< whose tags and pattern matches are remembered
  };

  /// An empty index.
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
  /// Purges the objects whose names match; PurgePatterns::rejection_reason() has let the pattern pass.
  void add_pattern(std::string_view pattern, Seconds valid_since);
  /// Purges everything.
  void add_all(Seconds valid_since);
  /// Purges what the entry covers. Throws InputError if its target does not fit its kind.
  void add(const PurgeEntry& entry);

  /// Copies of this object made before the time returned are stale; 0 if no purge in force covers it. `name`
  /// is read for patterns alone.
  Seconds valid_since(std::uint64_t object, std::uint32_t group, std::string_view name, Seconds now);
  /// The same for the tags that an answer names for its own copy.
  Seconds valid_since_for_tags(std::span<const std::uint64_t> tags, Seconds now) const;

  /// Remembers the tags that an answer named for the object.
  void learn_tags(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now);

  /// Drops what is out of force; a bounded part a call.
  void trim(Seconds now);

  /// How many purges are in force one by one, those folded into slots not counted.
  std::size_t size() const { return objects_.size() + groups_.size() + tags_.size() + patterns_.size(); }

 private:
  // Purges by a key, the newest of each.
  class NewestByKey {
   public:
    void add(std::uint64_t key, Seconds valid_since, std::size_t max_entries);
    Seconds newest(std::uint64_t key) const;
    Seconds newest() const { return newest_; }  // of all keys
    void trim(Seconds expired_before);
    std::size_t size() const { return by_key_.size(); }

   private:
    enum class Removal { expire, fold };  // fold: into its slot, which covers more than the key

    static constexpr std::size_t kSlots = 1024;
    static constexpr std::size_t kMaxDropsPerTrim = 4096;

    static std::size_t slot(std::uint64_t key) { return key >> 7 & (kSlots - 1); }
    void remove_oldest(Removal removal);

    std::unordered_map<std::uint64_t, Seconds> by_key_;
    std::deque<std::pair<Seconds, std::uint64_t>> order_;  // as they came
    std::vector<Seconds> folded_;                          // by slot; empty before the first fold
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
