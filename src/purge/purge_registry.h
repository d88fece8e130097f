/// \file
/// The purges of one router, without I/O. Purges from discovery and purges replicated in the fleet share one
/// index, which tells which copies of an object may be served. The host passes in received messages and
/// fetches what is to be sent and stored.
///
/// Times are seconds on the host's clock. Errors: a purge that cannot be used is rejected with a reason, not
/// with an exception. Threads: not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "purge/purge_delivery.h"
#include "purge/purge_index.h"
#include "purge/purge_log.h"
#include "purge/purge_replication.h"

namespace walkpaddle::purge {

/// Combines the log, the index, the delivery to cache servers and the replication between routers.
class PurgeRegistry {
 public:
  /// Configuration.
  struct Setup {
    Seconds discovery_settle_time = 6;  ///< time until a purge from discovery has reached all cache servers
    bool replicated = false;  ///< purges are exchanged between routers; else the fields below are unused
    int peer_count = 0;       ///< number of other routers
    LogStorage storage = LogStorage::memory;  ///< with disk, the host stores the entries of next_to_store()
    /// This router's issuer id: kept in the store across restarts; without a store, new at each start.
    std::uint64_t self = 0;
    Seconds max_copy_age = 86400;     ///< greatest age of a copy at any cache server
    PurgeReplication::Timing timing;  ///< lease and heartbeat interval
    std::size_t max_entries = 65536;  ///< in the log, and in the index for each kind
    std::size_t max_objects = 16384;  ///< objects whose tags are cached
  };

  /// Progress of one purge.
  struct Status {
    bool accepted = false;  ///< a majority has it, so it is in force everywhere within the lease
    int replicas = 0;       ///< routers that have it durably
    int routers = 0;        ///< routers in the fleet
    /// When a purge issued here since the start was first seen to be accepted; 0 if that is not known.
    Seconds accepted_at = 0;
    std::vector<int> peers_lacking{};        ///< peers that have not reported it
    std::vector<int> servers_unconfirmed{};  ///< cache servers that have not confirmed it
  };

  /// Starts with no purge in force.
  PurgeRegistry(const Setup& setup, Seconds now);

  /// Adds a purge from discovery of an object, given by its stable hash.
  void discovery_purged_object(std::uint64_t object, Seconds valid_since);
  /// Adds a purge from discovery of a group.
  void discovery_purged_group(std::uint32_t group, Seconds valid_since);
  /// Sets whether watch events of discovery are missing. While they are, the age of all copies is bounded,
  /// because any copy may be covered by a missing purge.
  void set_discovery_gap(bool open);
  /// Treats all copies from before now as stale, since discovery will not resend the missing purges.
  void discovery_purges_lost(Seconds now);

  /// Why an operator's purge cannot be issued; nullopt if it can.
  std::optional<std::string> rejection_reason(PurgeKind kind, std::string_view target) const;
  /// Issues a purge that rejection_reason() accepts.
  const PurgeEntry& issue(PurgeKind kind, std::string target, Seconds now);
  /// Progress of the purge. Requires replication.
  Status status(const PurgeEntry& entry) const;

  /// The replication between routers; null if purges are not replicated.
  PurgeReplication* replication() { return replication_ ? &*replication_ : nullptr; }
  /// The replication between routers, for reading; null if purges are not replicated.
  const PurgeReplication* replication() const { return replication_ ? &*replication_ : nullptr; }
  /// Adds a purge that a peer sent.
  AddResult add(const PurgeStamp& stamp, PurgeKind kind, std::string_view target, Seconds now);
  /// Must be called once after each message passed to replication().
  void after_input(Seconds now);

  /// An entry that was dropped from the log and is still in the store.
  struct Erasure {
    PurgeStamp stamp;            ///< its key
    std::uint64_t position = 0;  ///< its position in the log
  };

  /// First step of a restore from a store: entries up to this position had been erased from it.
  void restore_erased(std::uint64_t position) { log_.skip_positions(position); }
  /// Also a first step: the issuer's numbers up to `dropped` had been dropped.
  void restore_dropped(std::uint64_t issuer, std::uint64_t dropped, Seconds evicted_valid_since, Seconds now);
  /// Second step: adds the stored entries, in order of position.
  void restore(const PurgeEntry& entry, Seconds now);
  /// Last step; also called at a start without a store.
  void finish_restore();
  /// The next entry to pass to the store; null if there is none or nothing is stored.
  const PurgeEntry* next_to_store() const;
  /// Records that the store has queued the entry. mark_stored() follows once it is durable.
  void mark_queued(const PurgeEntry& entry) { queued_position_ = entry.position; }
  /// The next entry to erase from the store; null if there is none.
  const Erasure* next_to_erase() const { return to_erase_.empty() ? nullptr : &to_erase_.front(); }
  /// Records that the store has queued the erasure of next_to_erase().
  void mark_erased() { to_erase_.pop_front(); }
  /// Records that all entries up to this position are durable.
  void mark_stored(std::uint64_t position, Seconds now);

  /// Time before which copies of the object are stale; 0 if no purge in force covers it.
  Seconds valid_since(std::uint64_t object, std::uint32_t group, std::string_view name, Seconds now) {
    return index_.valid_since(object, group, name, now);
  }
  /// Greatest age at which any copy may be served; 0 if there is no limit.
  Seconds copy_age_limit(Seconds now) const;
  /// Whether a copy made at `made_at` must not be served now. `tags` are those that the response names.
  bool is_stale(std::uint64_t object, std::uint32_t group, std::string_view name,
                std::span<const std::uint64_t> tags, Seconds made_at, Seconds now);
  /// Records tags that a response named for the object.
  void record_tags(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now) {
    if (setup_.replicated) index_.record_tags(object, tags, now);
  }
  /// Rises whenever results of valid_since() or copy_age_limit() may have changed because of a purge or a
  /// discovery gap.
  std::uint64_t version() const { return version_; }

  /// Drops purges no longer in force, a bounded number for each call.
  void trim(Seconds now);
  /// Whether the cache server has confirmed all purges up to the one that came into force at `valid_since`.
  /// Needed for DNS answers: a client then requests from the cache server directly, and no router checks the
  /// age of the copy.
  bool delivered_to(int server, Seconds valid_since) const;
  /// The delivery of purges to cache servers.
  PurgeDelivery& delivery() { return delivery_; }
  /// The log of replicated purges.
  const PurgeLog& log() const { return log_; }
  /// The configuration.
  const Setup& setup() const { return setup_; }
  /// Guaranteed time from acceptance of a purge until no router serves a stale copy.
  Seconds promised_delay() const { return setup_.timing.lease; }
  /// Number of purges held individually in the index.
  std::size_t in_force() const { return index_.size(); }

 private:
  void put_in_force(const PurgeEntry& entry);
  void put_all_in_force(Seconds valid_since);
  void note_accepted(Seconds now);
  bool is_disk_backed() const { return setup_.storage == LogStorage::disk; }

  const Setup setup_;
  PurgeLog log_;
  PurgeIndex index_;
  PurgeDelivery delivery_;
  std::optional<PurgeReplication> replication_;
  bool discovery_gap_ = false;
  std::uint64_t version_ = 0;
  std::uint64_t stored_position_ = 0;
  std::uint64_t queued_position_ = 0;  // last position passed to the store
  std::deque<Erasure> to_erase_;
  std::deque<std::pair<PurgeStamp, Seconds>> issued_;  // latest purges issued here; 0 or time of acceptance
};

}  // namespace walkpaddle::purge
