/// \file
/// Replication of state between the routers of a fleet: combines the failure detector, rumours, comparisons
/// and catch-up, replicas of snapshots, and messages between two routers. The traffic of a router does not
/// grow with the fleet. No I/O; called on the scheduler's thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "gossip/bounds.h"
#include "gossip/clock_offsets.h"
#include "gossip/exchange.h"
#include "gossip/packet.h"
#include "gossip/rumours.h"
#include "gossip/shared_state.h"
#include "gossip/snapshot_replicas.h"

namespace walkpaddle::gossip {

/// One router's gossip protocol: takes received datagrams and makes those to send.
class Gossip {
 public:
  /// All references must outlive this object. `seed`: of the generator for random choices.
  Gossip(membership::Membership& members, replica::ObservationTracker& tracker, SnapshotReplicas& snapshots,
         const Bounds& bounds, std::uint32_t seed, Seconds now);
  Gossip(const Gossip&) = delete;
  Gossip& operator=(const Gossip&) = delete;

  /// Adds a state to replicate beside members and observations. Each is added once, before the first
  /// datagram; it must outlive this object.
  void add_state(replica::ReplicatedState& state) { shared_.states.push_back(&state); }

  /// Handles a datagram from a peer.
  void receive(const ReceivedPacket& received, Seconds now);
  /// The next datagram to send; nullopt: none now.
  std::optional<Packet> next(Seconds now);
  /// The time at which next() may have a datagram even if no input arrives.
  Seconds next_due(Seconds now) const;

  /// Whether this router has not caught up with the fleet yet.
  bool catching_up() const { return exchange_.catching_up(); }
  /// The result of a finished catch-up, once for each.
  std::optional<CatchUpReport> take_catch_up_report() { return exchange_.take_report(); }
  /// The number of observations that were received and new here.
  std::uint64_t observations_received() const { return shared_.observations_received; }
  /// The number of items and messages that could not be read.
  std::uint64_t unreadable_items() const { return unreadable_items_; }
  /// How far the peers' clocks are ahead of this router's in seconds, see ClockOffsets; 0 if no state was
  /// added.
  Seconds clock_offset(Seconds now) const { return clocks_.median(now); }
  /// The digests of this router's copy, see digest.h.
  std::vector<std::uint64_t> digests() const;

 private:
  std::optional<Packet> next_packet(Seconds now);
  Packet packet_of(const membership::Probe& probe);
  void queue_messages(Seconds now);
  void queue_rumours(Seconds now);
  void queue_snapshots(Seconds now);
  void receive_item(const Item& item, Seconds now);
  void receive_message(int from, const Item& item, Seconds now);
  void dispatch(const Packet& packet, Seconds now);
  bool reads_items(int peer) const;

  SharedState shared_;
  SnapshotReplicas& snapshots_;
  const Bounds bounds_;
  PacketQueue queue_;
  Rumours rumours_;
  Exchange exchange_;
  ClockOffsets clocks_;
  std::uint64_t unreadable_items_ = 0;
  Seconds round_at_ = 0;
};

}  // namespace walkpaddle::gossip
