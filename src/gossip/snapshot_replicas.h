/// \file
/// What a router's policy has learnt, kept for it by other routers against its crash. Each router sends its
/// snapshot to a few others, chosen by rendezvous hashing (Thaler and Ravishankar, 1998) among those alive;
/// one that starts asks as many for what they keep of it. A router gets back its own snapshot, never
/// another's: one that sees ten times the traffic of the rest has learnt what they have not. Bounded in
/// replicas, and in entries of each router. No I/O; called on the scheduler's thread.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "gossip/replicated_snapshot.h"
#include "membership/membership.h"

namespace walkpaddle::gossip {

/// One router's snapshot at others, and others' at this one.
class SnapshotReplicas {
 public:
  /// Sizes and times.
  struct Bounds {
    int replicas = 3;                 ///< of each snapshot: two may be gone
    Seconds interval = 10;            ///< between snapshots: a sixth of the minute in which limits count half
    Seconds request_interval = 0.25;  ///< of a start that asks
    Seconds request_for = 5;          ///< of the start; past it the policy has learnt by itself
    std::size_t entries_per_part = 32;  ///< of limits, and as many objects: 16 bytes each
    std::size_t max_objects = 256;      ///< of one router, those counted highest
    std::size_t max_limits = 4096;      ///< of one router
    Seconds retention = 300;            ///< five halvings: nothing worth sending
  };
  /// A datagram to be sent.
  struct Send {
    int peer = -1;                                       ///< its receiver, by number
    std::shared_ptr<const ReplicatedSnapshot> snapshot;  ///< null: asks for what is kept of this router
  };
  /// `members` must outlive this.
  SnapshotReplicas(const membership::Membership& members, const Bounds& bounds, Seconds now);

  /// Whether a new snapshot is due.
  bool due(Seconds now) const {
    return now >= replicate_at_ && (requests_over_ || now >= started_ + bounds_.request_for);
  }
  /// Sends a new snapshot of this router to others.
  void replicate(ReplicatedSnapshot snapshot, Seconds now);
  /// A part of the snapshot of router `from`, or of what was kept for this router. What does not fit, or
  /// speaks for a third router, is dropped.
  void receive(std::uint64_t from, ReplicatedSnapshot part, Seconds now);
  /// A peer asks for what is kept of it.
  void handle_request(int from);
  /// What this router's own disk kept, before anything is asked.
  void restore(ReplicatedSnapshot snapshot) { recover(std::move(snapshot)); }

  /// The next datagram; nullopt: none now.
  std::optional<Send> next(Seconds now);
  /// When next() or due() may have more without an input.
  Seconds next_due() const;
  /// This router's own snapshot of before its start, whole, the newest so far; each once.
  std::optional<ReplicatedSnapshot> take_recovered();
  /// Routers of which something is kept here.
  std::size_t replica_count() const { return replicas_.size(); }

 private:
  using Parts = std::vector<ReplicatedSnapshot>;
  struct Replica {
    Parts whole;     // the last that came whole
    Parts incoming;  // a later one, until it is whole
  };
  std::vector<int> replica_holders(std::uint64_t router) const;
  void drop_past(Seconds now);
  bool acceptable(std::uint64_t from, const ReplicatedSnapshot& part, Seconds now) const;
  void recover(ReplicatedSnapshot snapshot);

  const membership::Membership& members_;
  const Bounds bounds_;
  const Seconds started_;
  std::map<std::uint64_t, Replica> replicas_;  // by router
  Parts own_parts_;                            // of what comes back
  std::optional<ReplicatedSnapshot> recovered_;
  std::deque<Send> outgoing_;
  Seconds replicate_at_;
  Seconds request_at_;
  Seconds newest_recovered_ = 0;  // when it was taken
  bool requests_over_ = false;
};

}  // namespace walkpaddle::gossip
