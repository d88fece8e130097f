/// \file
/// Fleet membership: SWIM (Das, Gupta and Motivala, 2002) with the extensions of Lifeguard (Dadgar, Phillips
/// and Currey, 2018). A member that does not answer a probe is suspected, and counts as dead if it does not
/// refute the suspicion in time. It refutes with a greater incarnation, which only the member itself may
/// raise; a restarted router takes a greater one from its clock. From Lifeguard: a member that misses answers
/// to its own probes waits longer before it suspects others, a suspicion lasts longer the fewer members
/// confirm it, and each probe to a suspected member tells it of the suspicion. No I/O; called on the
/// scheduler's thread.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "membership/bounds.h"
#include "membership/member.h"
#include "membership/prober.h"

namespace walkpaddle::membership {

/// One router's view of its fleet. Peers are identified by their index in the constructor's list.
class Membership {
 public:
  /// `self` and `peers`: stable hashes of the routers' names. `incarnation`: greater than that of the
  /// previous start. `seed`: of the generator for random choices.
  Membership(std::uint64_t self, const std::vector<std::uint64_t>& peers, std::uint64_t incarnation,
             const Bounds& bounds, std::uint32_t seed, Seconds now);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Records that a datagram of any kind came from the peer itself. `incarnation` and `channel_versions` are
  /// those in the datagram; versions of 0 are not announced.
  void note_contact(int peer, std::uint64_t incarnation, std::uint64_t channel_versions, Seconds now);
  /// Joins a record received from another router; true if it changed anything here.
  bool join(const MemberRecord& record, Seconds now);
  /// Queues the ack for a ping from a peer. `number`: as in Probe.
  void handle_ping(int from, std::uint64_t number) { prober_.queue_ack(from, number); }
  /// Pings the member `target_name` on behalf of the peer `from`. Ignored if no peer has that name.
  void handle_ping_request(int from, std::uint64_t number, std::uint64_t target_name, Seconds now);
  /// Handles the answer to a ping that this router sent, for itself or as a helper.
  void handle_ack(std::uint64_t number);
  /// Handles a helper's report that it had no answer either.
  void handle_nack(std::uint64_t number) { prober_.handle_nack(number); }

  /// The next datagram of the failure detector to send; nullopt: none now.
  std::optional<Probe> next_probe(Seconds now);
  /// The time at which next_probe() may have a datagram even if no input arrives.
  Seconds next_due() const;

  /// The records that changed here since the last call, for gossip to spread.
  std::vector<MemberRecord> take_updates() { return std::exchange(updates_, {}); }
  /// Whether a stall of this process (it was stopped, or got no CPU time) was detected since the last call.
  bool take_stall() { return std::exchange(stall_detected_, false); }

  /// All peers, by index.
  const std::vector<Peer>& peers() const { return peers_; }
  /// The record of a peer as it is sent to others; nullopt while its state is `never_seen`.
  std::optional<MemberRecord> record(int peer) const;
  /// The record of this router as it is sent to others.
  MemberRecord self() const { return {self_, incarnation_, MemberState::alive, 0, channel_versions_}; }
  /// Sets the channel versions that this router reads, see compat/announcement.h. Must be called before
  /// anything is sent.
  void announce(std::uint64_t channel_versions) { channel_versions_ = channel_versions; }
  /// The index of the peer with that name; -1 if there is none in the fleet.
  int peer_named(std::uint64_t name) const;
  /// The number of peers that are alive or suspected.
  int alive_count() const;
  /// The index of a random peer that is alive or suspected; -1 if there is none.
  int random_alive_peer();
  /// Lifeguard's local health score: 0 is healthy; it rises when this router misses answers to its own
  /// probes.
  int local_health_score() const { return health_score_; }
  /// The number of suspicions that this router raised.
  std::uint64_t suspicions() const { return suspicions_; }
  /// The number of suspicions known here that the member refuted.
  std::uint64_t refuted() const { return refuted_; }

 private:
  void replace(Peer& peer, const MemberRecord& record, Seconds now);
  bool refute(const MemberRecord& record);
  bool confirm_suspicion(Peer& peer, const MemberRecord& record);
  void suspect(int peer, Seconds now);
  void expire_suspicions(Seconds now);
  Seconds suspicion_expires_at(const Peer& peer) const;
  void adjust_health_score(int step);
  void handle_stall(Seconds duration);
  int health_multiplier() const { return 1 + health_score_; }

  const std::uint64_t self_;
  const Bounds bounds_;
  std::uint64_t incarnation_;
  std::uint64_t channel_versions_ = 0;
  std::mt19937 random_;
  Prober prober_;
  std::vector<Peer> peers_;
  std::vector<MemberRecord> updates_;
  std::uint64_t suspicions_ = 0;
  std::uint64_t refuted_ = 0;
  Seconds last_call_;  // time of the last call of next_probe()
  int health_score_ = 0;
  bool stall_detected_ = false;
};

}  // namespace walkpaddle::membership
