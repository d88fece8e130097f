/// \file
/// The purges of one router, without I/O: those of discovery and those of the fleet, in one index; which
/// copies of an object may be served; who has confirmed what. A host feeds it and pulls what is to be sent
/// and stored.
///
/// Times are seconds on the host's clock. Errors: a purge that cannot be used is rejected with a reason, no
/// exception. Threads: one at a time.
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

/// Binds the log, the index, the delivery to cache servers and the replication between routers.
class PurgeRegistry {
 public:
  /// What it is set up with.
  struct Setup {
    Seconds discovery_settle_time = 6;  ///< purges of discovery have reached all cache servers by then
    bool replicated = false;  ///< purges go between routers; the fields below count only where they do
    int peer_count = 0;       ///< routers beside this one
    LogStorage storage = LogStorage::memory;  ///< disk: the host stores what next_to_store() gives
    /// This router as an issuer: the same after a restart with its store, else never used before.
    std::uint64_t self = 0;
    Seconds max_copy_age = 86400;     ///< no cache server has an older copy
    PurgeReplication::Timing timing;  ///< lease and heartbeats
    std::size_t max_entries = 65536;  ///< in the log, and in force of each kind
    std::size_t max_objects = 16384;  ///< whose tags are remembered
  };

  /// How far one purge has come.
  struct Status {
    bool accepted = false;  ///< a majority has it: it will be in force everywhere within the lease
    int replicas = 0;       ///< routers that have it for good
    int routers = 0;        ///< all of the fleet
    /// When it was first seen accepted, of one issued here since the start; 0 where that is not known.
    Seconds accepted_at = 0;
    std::vector<int> peers_lacking{};        ///< peers that have not reported it
    std::vector<int> servers_unconfirmed{};  ///< cache servers that have not confirmed it
  };

  /// No purge is in force.
  PurgeRegistry(const Setup& setup, Seconds now);

  /// Discovery purged an object, by its stable hash.
  void discovery_purged_object(std::uint64_t object, Seconds valid_since);
  /// Discovery purged a group.
  void discovery_purged_group(std::uint32_t group, Seconds valid_since);
  /// Whether watch events of discovery are missing: until they came every copy counts as stale that may be
  /// one of theirs.
  void set_discovery_gap(bool open);
  /// Discovery will not send them again: all copies from before now are stale.
  void discovery_purges_lost(Seconds now);

  /// Why an operator's purge cannot be issued, nullopt if it can.
  std::optional<std::string> rejection_reason(PurgeKind kind, std::string_view target) const;
  /// Issues one that rejection_reason() let pass.
  const PurgeEntry& issue(PurgeKind kind, std::string target, Seconds now);
  /// How far it has come; only where purges are replicated.
  Status status(const PurgeEntry& entry) const;

  /// The replication between routers; null where there is none.
  PurgeReplication* replication() { return replication_ ? &*replication_ : nullptr; }
  /// The same to look at.
  const PurgeReplication* replication() const { return replication_ ? &*replication_ : nullptr; }
  /// Adds one that a peer sent.
  AddResult add(const PurgeStamp& stamp, PurgeKind kind, std::string_view target, Seconds now);
  /// To be called once after each of replication()'s inputs.
  void after_input(Seconds now);

  /// First at a start with a store: the issuer's numbers up to `dropped` were dropped before it.
  void restore_dropped(std::uint64_t issuer, std::uint64_t dropped, Seconds evicted_valid_since, Seconds now);
  /// Then the entries, in the order of their positions.
  void restore(const PurgeEntry& entry, Seconds now);
  /// Last, with a store or without.
  void finish_restore();
  /// The next entry that the store has not been given; null for none, or where nothing is stored.
  const PurgeEntry* next_to_store() const;
  /// The store has taken it; stored() follows once it is durable.
  void mark_queued(const PurgeEntry& entry) { queued_position_ = entry.position; }
  /// The next entry that is to be erased from the store; null for none.
  const PurgeStamp* next_to_erase() const { return to_erase_.empty() ? nullptr : &to_erase_.front(); }
  /// The store has taken that erasure.
  void mark_erased() { to_erase_.pop_front(); }
  /// All up to this position is durable.
  void mark_stored(std::uint64_t position, Seconds now);

  /// Copies of the object made before the time returned are stale; 0 if no purge in force covers it.
  Seconds valid_since(std::uint64_t object, std::uint32_t group, std::string_view name, Seconds now) {
    return index_.valid_since(object, group, name, now);
  }
  /// The bound on the age of every copy, 0 for none.
  Seconds copy_age_limit(Seconds now) const;
  /// Whether an answer's copy, made at that time, may not be served now; its own tags count too.
  bool is_stale(std::uint64_t object, std::uint32_t group, std::string_view name,
                std::span<const std::uint64_t> tags, Seconds made_at, Seconds now);
  /// Remembers the tags that an answer named for the object.
  void learn_tags(std::uint64_t object, std::span<const std::uint64_t> tags, Seconds now) {
    if (setup_.replicated) index_.learn_tags(object, tags, now);
  }
  /// Rises with each purge that comes into force: what valid_since() said may have changed.
  std::uint64_t version() const { return version_; }

  /// Drops what is out of force; a bounded part a call.
  void trim(Seconds now);
  /// Whether the cache server has confirmed every purge that is valid since then or earlier: paths past the
  /// routers may lead there.
  bool delivered_to(int server, Seconds valid_since) const;
  /// What goes to cache servers.
  PurgeDelivery& delivery() { return delivery_; }
  /// All purges of the fleet that this router has.
  const PurgeLog& log() const { return log_; }
  /// What it was set up with.
  const Setup& setup() const { return setup_; }
  /// Promised from accepted to no stale copy at any router.
  Seconds promised_delay() const { return setup_.timing.lease; }
  /// How many purges are in force.
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
  std::uint64_t queued_position_ = 0;  // given to the store
  std::deque<PurgeStamp> to_erase_;
  std::deque<std::pair<PurgeStamp, Seconds>> issued_;  // here, the latest, and when each was accepted
};

}  // namespace walkpaddle::purge
