/// \file
/// The ordered log of purges, without I/O. Each issuer numbers its purges from 1. Of each issuer the log has
/// a contiguous run, and early entries with a gap before them. The ends of the runs form a version vector
/// (Parker et al., 1983). The purges of all issuers are merged into one total order by stamp.
///
/// Threads: not thread-safe. Pointers and references to entries are valid until trim() drops the entry.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "purge/entry.h"

namespace walkpaddle::purge {

/// Result of adding a purge to the log.
enum class AddResult {
  appended,  ///< added; its issuer's run has grown
  early,     ///< added with a gap before it; it is in force at once
  known,     ///< not added, since the log has it or has dropped it
  full,      ///< not added, since a limit is reached; it will be requested again
};

/// One router's purges, indexed by issuer and number, by stamp, and by position.
class PurgeLog {
 public:
  /// Limits above which the log drops or rejects purges.
  struct Limits {
    Seconds max_age = 86400;           ///< greatest age of a copy; older purges are dropped
    std::size_t entries = 65536;       ///< above it the oldest purges are dropped, whatever their age
    std::size_t issuers = 64;          ///< each start of a router without a store adds one
    std::size_t early_entries = 4096;  ///< entries with a gap before them, over all issuers
  };

  /// How far the log has come with one issuer's numbers.
  struct IssuerProgress {
    std::uint64_t contiguous = 0;  ///< end of the run: the log has or had all numbers up to here
    std::uint64_t dropped = 0;     ///< the log has dropped all numbers up to here
    std::uint64_t durable = 0;     ///< all numbers up to here would survive a restart of this router
    std::uint64_t reported = 0;    ///< highest number known to exist, from entries or from peers' reports
    /// The newest `valid_since` of the purges dropped for lack of space rather than for age; 0 for none.
    Seconds evicted_valid_since = 0;
    Seconds advanced_at = 0;  ///< time at which `contiguous` last rose
  };

  /// Creates an empty log.
  explicit PurgeLog(const Limits& limits) : limits_(limits) {}

  /// Adds a purge issued by this router, whose issuer id is `self`. Its stamp follows all stamps seen so far.
  /// The caller must have validated kind and target.
  const PurgeEntry& issue(std::uint64_t self, PurgeKind kind, std::string target, Seconds now);

  /// Adds a purge that a peer sent. One that arrives early is in force at once, but its issuer's run ends
  /// before the gap. `added`, if not null, is set to the new entry; it is left unchanged if none was added.
  AddResult add(const PurgeStamp& stamp, PurgeKind kind, std::string_view target, Seconds now,
                const PurgeEntry** added = nullptr) {
    return restore({stamp, kind, std::string(target), now, kNextPosition}, now, added);
  }

  /// Adds a purge from the store with its stored `valid_since` and position. If that position was skipped,
  /// the purge has the next one. Calls must be in order of position.
  AddResult restore(PurgeEntry entry, Seconds now, const PurgeEntry** added = nullptr);

  /// Gives no position up to this one to a later entry: they were given before a restart, and cache servers
  /// may have confirmed them.
  void skip_positions(std::uint64_t position) { last_position_ = std::max(last_position_, position); }

  /// Moves the issuer's run past the numbers up to `dropped`, which may no longer be in any log.
  /// `evicted_valid_since` is the newest `valid_since` of those dropped for lack of space, 0 for none; the
  /// caller must first treat all copies from before that time as stale.
  void skip_dropped(std::uint64_t issuer, std::uint64_t dropped, Seconds evicted_valid_since, Seconds now);

  /// Records that, according to a peer, the issuer has issued purges up to `number`.
  void note_reported(std::uint64_t issuer, std::uint64_t number);

  /// Records that all purges up to this position would survive a restart.
  void mark_durable(std::uint64_t position);

  /// Drops purges that are too old and, above the limit, the oldest. Calls `on_drop(entry)` before dropping
  /// each. Drops at most `max_drops`, so that the call does not block the scheduler for long.
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

  /// Progress of all known issuers, by issuer id.
  const std::map<std::uint64_t, IssuerProgress>& issuers() const { return issuers_; }
  /// One issuer's progress; all zero if the issuer is unknown.
  IssuerProgress progress(std::uint64_t issuer) const;
  /// Whether numbers beyond the end of an issuer's run are known to exist.
  bool has_gaps() const;
  /// The issuer's entry with this number, or null if it is not in the log.
  const PurgeEntry* find(std::uint64_t issuer, std::uint64_t number) const;
  /// The first entry at or after this position, or null if there is none.
  const PurgeEntry* at_or_after(std::uint64_t position) const;
  /// The position of the latest arrival, even if it has been dropped; 0 if nothing has arrived.
  std::uint64_t last_position() const { return last_position_; }
  /// Number of entries in the log.
  std::size_t size() const { return entries_.size(); }
  /// All entries in the total order.
  const std::map<PurgeStamp, PurgeEntry>& entries() const { return entries_; }

 private:
  enum class DropReason { expired, evicted };
  using Entries = std::map<PurgeStamp, PurgeEntry>;

  static constexpr std::uint64_t kNextPosition = 0;  // makes insert() assign the position after the last

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
  Seconds last_issued_at_ = 0;  // latest PurgeStamp::issued_at seen
};

}  // namespace walkpaddle::purge
