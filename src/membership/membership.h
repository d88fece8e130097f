/// \file
/// Who of a fleet is alive: SWIM (Das, Gupta and Motivala, 2002) with the extensions of Lifeguard (Dadgar,
/// Phillips and Currey, 2018). A member that does not answer a probe is suspected; a suspicion that is not
/// refuted in time makes it dead. A member refutes with a greater incarnation, which no other may give it; a
/// new start has a greater one by its clock. A member that misses answers itself is slower to suspect, a
/// suspicion lasts the longer the fewer confirm it, and the suspected one hears of it first. No I/O; called
/// on the scheduler's thread.
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

/// One router's view of its fleet. Peers have numbers, in the order in which they were given.
class Membership {
 public:
  /// `self` and `peers`: stable hashes of the routers' names. `incarnation`: greater than that of the last
  /// start. `seed`: of the random choices.
  Membership(std::uint64_t self, const std::vector<std::uint64_t>& peers, std::uint64_t incarnation,
             const Bounds& bounds, std::uint32_t seed, Seconds now);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Any datagram from the peer itself; `channel_versions` as it announces them, 0 if it does not say.
  void heard_from(int peer, std::uint64_t incarnation, std::uint64_t channel_versions, Seconds now);
  /// Joins a record that was passed on; true if it was new here.
  bool join(const MemberRecord& record, Seconds now);
  /// A peer pings this router.
  void handle_ping(int from, std::uint64_t number) { prober_.answer(from, number); }
  /// A peer asks this router to ping the member `about`, by name, in its place.
  void handle_ping_request(int from, std::uint64_t number, std::uint64_t about, Seconds now);
  /// An answer to a ping of this router.
  void handle_ack(std::uint64_t number);
  /// A helper had no answer either.
  void handle_nack(std::uint64_t number) { prober_.handle_nack(number); }

  /// The next datagram of the failure detector; nullopt: none now.
  std::optional<Probe> next_probe(Seconds now);
  /// When next_probe() may have more without an input.
  Seconds next_due() const;

  /// Records that changed here since the last call, to be spread.
  std::vector<MemberRecord> take_updates() { return std::exchange(updates_, {}); }
  /// Whether this process stood still (stopped, or starved) since the last call.
  bool take_standstill() { return std::exchange(stood_still_, false); }

  /// All peers, by number.
  const std::vector<Peer>& peers() const { return peers_; }
  /// What is passed on of a peer; none while it is never_seen.
  std::optional<MemberRecord> record(int peer) const;
  /// What is passed on of this router.
  MemberRecord self() const { return {self_, incarnation_, MemberState::alive, 0, channel_versions_}; }
  /// What this router reads of each channel; to be called before anything is sent.
  void announce(std::uint64_t channel_versions) { channel_versions_ = channel_versions; }
  /// The number of the peer of that name; -1: it is not of the fleet.
  int peer_named(std::uint64_t name) const;
  /// Peers that are alive or suspected.
  int alive_count() const;
  /// One of them by chance; -1: there is none.
  int random_alive_peer();
  /// Lifeguard's local health score: 0 is well; raised while this router misses answers itself.
  int local_health_score() const { return health_score_; }
  /// Suspicions raised here.
  std::uint64_t suspicions() const { return suspicions_; }
  /// Suspicions heard of that were refuted: the member lived.
  std::uint64_t refuted() const { return refuted_; }

 private:
  void replace(Peer& peer, const MemberRecord& record, Seconds now);
  bool refute(const MemberRecord& record);
  bool confirm_suspicion(Peer& peer, const MemberRecord& record);
  void suspect(int peer, Seconds now);
  void bury_suspects(Seconds now);
  Seconds dead_at(const Peer& peer) const;
  void adjust_health_score(int step);
  void handle_standstill(Seconds duration);
  int patience() const { return 1 + health_score_; }

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
  Seconds called_at_;  // of next_probe()
  int health_score_ = 0;
  bool stood_still_ = false;
};

}  // namespace walkpaddle::membership
