/// \file
/// The ordered log of purges, without I/O. Each issuer numbers its own from 1; a router has of each issuer an
/// unbroken run and, beside it, what arrived early. All merge into one order by stamp (a version vector:
/// Parker et al., 1983).
///
/// Threads: one at a time. Pointers and references to entries are good until the entry is dropped by trim().
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "purge/entry.h"

namespace walkpaddle::purge {

/// What became of a purge that was handed to the log.
enum class AddResult {
  appended,  ///< taken; its issuer's run grew
  early,     ///< taken ahead of a gap in its issuer's run; it counts at once
  known,     ///< it was there already
  full,      ///< not taken: a bound is reached; it will be asked for again
};

/// The purges that one router has, by issuer and number, by stamp, and by order of arrival.
class PurgeLog {
 public:
  /// Past which the log drops or refuses.
  struct Limits {
    Seconds max_age = 86400;           ///< no copy outlives this: older purges are dropped
    std::size_t entries = 65536;       ///< past it the oldest are dropped, whatever their age
    std::size_t issuers = 64;          ///< a router that starts without a store is a new issuer each time
    std::size_t early_entries = 4096;  ///< of all issuers, with a gap before them
  };

  /// How far one issuer's numbers are known.
  struct IssuerProgress {
    std::uint64_t contiguous = 0;  ///< all numbers up to here were in the log at some time
    std::uint64_t dropped = 0;     ///< all numbers up to here were dropped since
    std::uint64_t durable = 0;     ///< all numbers up to here would survive a restart of this router
    std::uint64_t reported = 0;    ///< the highest number that anyone reported
    /// The newest `valid_since` of those dropped for want of room, not for their age; 0 for none.
    Seconds evicted_valid_since = 0;
    Seconds grew_at = 0;  ///< when `contiguous` last rose
  };

  /// An empty log.
  explicit PurgeLog(const Limits& limits) : limits_(limits) {}

  /// Adds a purge issued by this router, `self`; its stamp is after all that were seen. The caller has
  /// checked kind and target.
  const PurgeEntry& issue(std::uint64_t self, PurgeKind kind, std::string target, Seconds now);

  /// Adds one that a peer sent. One that arrives early counts at once, but its issuer's run does not move
  /// past the gap before it. `added`, if given, is set to the entry that was made, and left alone if none
  /// was.
  AddResult add(const PurgeStamp& stamp, PurgeKind kind, std::string_view target, Seconds now,
                const PurgeEntry** added = nullptr) {
    return restore({stamp, kind, std::string(target), now, kNextPosition}, now, added);
  }

  /// Adds one from the store, with its own `valid_since` and position; positions rise from one call to the
  /// next.
  AddResult restore(PurgeEntry entry, Seconds now, const PurgeEntry** added = nullptr);

  /// An issuer's numbers up to `dropped` are in nobody's log any more. `evicted_valid_since` is the newest of
  /// those dropped for want of room, 0 for none: the caller first treats all copies from before it as stale.
  void skip_dropped(std::uint64_t issuer, std::uint64_t dropped, Seconds evicted_valid_since, Seconds now);

  /// Somebody reports that the issuer has come as far as `number`.
  void note_reported(std::uint64_t issuer, std::uint64_t number);

  /// All that arrived up to this position would survive a restart.
  void mark_durable(std::uint64_t position);

  /// Drops what is too old and, past the bound, the oldest; `on_drop(entry)` is called for each before it
  /// goes. At most `max_drops` a call, so that no turn of the scheduler takes long.
  template <class OnDrop>
  void trim(Seconds now, std::size_t max_drops, OnDrop&& on_drop) {
    for (; max_drops > 0 && !by_position_.empty(); --max_drops) {
      const auto oldest = entries_.find(by_position_.begin()->second);
      const bool expired = now - oldest->second.valid_since > limits_.max_age;
      if (!expired && entries_.size() <= limits_.entries) break;
      on_drop(oldest->second);
      drop(oldest, expired ? DropReason::expired : DropReason::evicted);
    }
    forget_issuers(now);
  }

  /// All issuers that are known.
  const std::map<std::uint64_t, IssuerProgress>& issuers() const { return issuers_; }
  /// One issuer's progress; all zero if it is not known.
  IssuerProgress progress(std::uint64_t issuer) const;
  /// Whether numbers were reported that are not in the log.
  bool has_gaps() const;
  /// The entry, or null if it is not in the log.
  const PurgeEntry* find(std::uint64_t issuer, std::uint64_t number) const;
  /// The first entry at this position or after it; null if there is none.
  const PurgeEntry* at_or_after(std::uint64_t position) const;
  /// The position of the latest arrival, dropped or not; 0 before the first.
  std::uint64_t last_position() const { return last_position_; }
  /// How many entries the log has.
  std::size_t size() const { return entries_.size(); }
  /// All entries in the one order.
  const std::map<PurgeStamp, PurgeEntry>& entries() const { return entries_; }

 private:
  enum class DropReason { expired, evicted };
  using Entries = std::map<PurgeStamp, PurgeEntry>;

  static constexpr std::uint64_t kNextPosition = 0;  // the one after the last, instead of a given one

  bool accepts_issuer(std::uint64_t issuer) const {
    return issuers_.contains(issuer) || issuers_.size() < limits_.issuers;
  }
  bool contains(std::uint64_t issuer, std::uint64_t number) const {
    return by_number_.contains({issuer, number});
  }
  const PurgeEntry& insert(PurgeEntry entry);
  void advance(std::uint64_t issuer, Seconds now);
  void absorb_early(std::uint64_t issuer, IssuerProgress& progress);
  void drop(Entries::iterator it, DropReason reason);
  void forget_issuers(Seconds now);

  const Limits limits_;
  Entries entries_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, PurgeStamp> by_number_;  // issuer and number
  std::map<std::uint64_t, PurgeStamp> by_position_;
  std::map<std::uint64_t, IssuerProgress> issuers_;
  std::size_t early_entries_ = 0;
  std::uint64_t last_position_ = 0;
  Seconds last_issued_at_ = 0;  // the latest of all stamps seen
};

}  // namespace walkpaddle::purge
