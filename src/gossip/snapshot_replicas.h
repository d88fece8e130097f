/// \file
/// Replicas of what the routers' policies have learnt, which survive the crash of a router. Each router sends
/// its snapshot to a few others, chosen by rendezvous hashing (Thaler and Ravishankar, 1998) among those
/// alive; after its start it asks the holders for its replica. A router gets back its own snapshot only,
/// never another's, as a router with ten times the traffic of the rest has learnt different values. The
/// number of replicas and the entries of each snapshot are bounded. No I/O; called on the scheduler's thread.
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

/// Sends this router's snapshot to its holders and holds the snapshots of other routers.
class SnapshotReplicas {
 public:
  /// Sizes and times.
  struct Bounds {
    int replicas = 3;                 ///< holders of each snapshot: two of them may be lost
    Seconds interval = 10;            ///< between snapshots: a sixth of the half-life of restored limits
    Seconds request_interval = 0.25;  ///< between requests after the start
    Seconds request_for = 5;          ///< how long to send requests; by then the policy has learnt by itself
    std::size_t entries_per_part = 32;  ///< limits in a part, and as many objects; 16 bytes each
    std::size_t max_objects = 256;      ///< objects of one router, those with the highest counts
    std::size_t max_limits = 4096;      ///< limits of one router
    Seconds retention = 300;  ///< five half-lives: too little is left of a limit to be worth sending
  };
  /// A datagram to send.
  struct Send {
    int peer = -1;                                       ///< index of the receiver among the peers
    std::shared_ptr<const ReplicatedSnapshot> snapshot;  ///< null: asks for the replica of this router
  };
  /// `members` must outlive this object.
  SnapshotReplicas(const membership::Membership& members, const Bounds& bounds, Seconds now);

  /// Whether a new snapshot is due.
  bool due(Seconds now) const {
    return now >= replicate_at_ && (recovery_over_ || now >= started_ + bounds_.request_for);
  }
  /// Queues a new snapshot of this router for its holders. Ends the recovery after the start.
  void replicate(ReplicatedSnapshot snapshot, Seconds now);
  /// Handles a part of the snapshot of router `from`, or of this router's replica. A part of a third router's
  /// snapshot, or with invalid numbers, size or time, is dropped. `from`: stable hash of the sender's name.
  void receive(std::uint64_t from, ReplicatedSnapshot part, Seconds now);
  /// Answers a peer's request with the last complete replica of its snapshot.
  void handle_request(int from);
  /// Takes this router's snapshot from its own disk; called before the first request.
  void restore(ReplicatedSnapshot snapshot) { recover(std::move(snapshot)); }

  /// The next datagram to send; nullopt: none now.
  std::optional<Send> next(Seconds now);
  /// The time at which next() may have a datagram, or due() turn true, even if no input arrives.
  Seconds next_due() const;
  /// This router's complete snapshot from before its start, the newest so far; nullopt if there is no newer
  /// one since the last call.
  std::optional<ReplicatedSnapshot> take_recovered();
  /// The number of routers with a complete or partial replica here.
  std::size_t replica_count() const { return replicas_.size(); }

 private:
  using Parts = std::vector<ReplicatedSnapshot>;
  struct Replica {
    Parts complete;  // the last complete snapshot
    Parts incoming;  // parts of a later one, until it is complete
  };
  std::vector<int> replica_holders(std::uint64_t router) const;
  void drop_expired(Seconds now);
  bool acceptable(std::uint64_t from, const ReplicatedSnapshot& part, Seconds now) const;
  void recover(ReplicatedSnapshot snapshot);

  const membership::Membership& members_;
  const Bounds bounds_;
  const Seconds started_;
  std::map<std::uint64_t, Replica> replicas_;  // by the hash of the router's name
  Parts own_parts_;                            // of this router's replica, until it is complete
  std::optional<ReplicatedSnapshot> recovered_;
  std::deque<Send> outgoing_;
  Seconds replicate_at_;
  Seconds request_at_;
  Seconds newest_recovered_ = 0;  // the time when it was taken
  bool recovery_over_ = false;
};

}  // namespace walkpaddle::gossip
