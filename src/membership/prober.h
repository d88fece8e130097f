/// \file
/// The probing part of the failure detector of SWIM (Das, Gupta and Motivala, 2002). In each interval one
/// member is pinged, in a shuffled round-robin order; a member that does not answer is pinged through
/// helpers. Membership decides what follows from a failed probe. No I/O; called on the scheduler's thread.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <vector>

#include "membership/bounds.h"
#include "membership/member.h"

namespace walkpaddle::membership {

/// One datagram of the failure detector.
struct Probe {
  /// What the datagram is for. The values go over the wire.
  enum class Kind : std::uint8_t {
    ping,
    ack,
    nack,         ///< a helper got no answer from the target either
    ping_request  ///< asks a helper to ping the target
  };
  Kind kind = Kind::ping;         ///< the purpose
  int peer = -1;                  ///< index of the receiver among the peers
  std::uint64_t number = 0;       ///< sequence number; an ack or nack has that of its ping or ping request
  std::uint64_t target_name = 0;  ///< for a ping request: stable hash of the target's name
};

/// One member's own probes, the pings that it sends for others as a helper, and its answers.
class Prober {
 public:
  /// The result of an own probe that got no answer.
  struct Failure {
    int peer = -1;          ///< index of the peer that did not answer
    int missing_nacks = 0;  ///< helpers that were asked and sent neither ack nor nack
  };

  /// `random` is the generator of Membership and must outlive this object.
  Prober(const Bounds& bounds, std::mt19937& random, Seconds now);

  /// Queues the ack for a ping from the peer `from`.
  void queue_ack(int from, std::uint64_t number);
  /// Handles a ping request: pings the peer `target` on behalf of the peer `from`.
  void relay(int from, std::uint64_t number, int target, Seconds now);
  /// Handles an ack: true if it answers the own probe. One for a relayed ping is sent on to the asking peer.
  bool handle_ack(std::uint64_t number);
  /// Handles a nack: the helper answers but cannot reach the target either, so the fault is less likely on
  /// this member's side.
  void handle_nack(std::uint64_t number);
  /// Drops the pending probe and all relays after a stall of this process, which would have missed the
  /// answers.
  void reset();

  /// Sends a nack for each relayed ping that timed out.
  void expire_relays(Seconds now);
  /// Asks helpers if the pending probe has had no direct answer in time. `health_multiplier`: from 1, the
  /// factor by which the probe's timeouts are extended.
  void ask_helpers(const std::vector<Peer>& peers, int health_multiplier, Seconds now);
  /// Ends the pending probe if it has failed and returns the failure, once for each probe.
  std::optional<Failure> take_failure(Seconds now);
  /// Starts the next probe if it is due. Also pings peers that are dead or were never seen, as otherwise the
  /// end of a network partition would go unnoticed.
  void start_due(const std::vector<Peer>& peers, int health_multiplier, Seconds now);

  /// The next datagram to send; nullopt: none is queued.
  std::optional<Probe> pop();
  bool empty() const { return outgoing_.empty(); }  ///< whether no datagram is queued
  /// The time at which there may be something to do even if no input arrives.
  Seconds next_due(int health_multiplier) const;

 private:
  struct PendingProbe {
    int peer = -1;
    std::uint64_t number = 0;
    Seconds started_at = 0;
    Seconds fails_at = 0;
    bool helpers_asked = false;
    int awaited_nacks = 0;
  };
  struct Relay {
    int from = -1;
    std::uint64_t number = 0;      // sequence number of the ping request
    std::uint64_t own_number = 0;  // sequence number of the relayed ping
    Seconds expires_at = 0;
  };
  int next_in_round(const std::vector<Peer>& peers);
  void ping_dead_or_unseen(const std::vector<Peer>& peers);

  const Bounds bounds_;
  std::mt19937& random_;
  std::uint64_t number_;  // sequence number of the last ping sent
  Seconds probe_at_;
  std::vector<int> round_;
  std::optional<PendingProbe> pending_;
  std::deque<Relay> relays_;
  std::deque<Probe> outgoing_;
};

}  // namespace walkpaddle::membership
