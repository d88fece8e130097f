/// \file
/// How what routers share goes round a fleet: connects the failure detector, rumours, comparisons and
/// catch-up, replicas of snapshots, and messages between routers. What a router sends does not grow with the
/// fleet. No I/O; called on the scheduler's thread.
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

/// One router's gossip: datagrams in, datagrams out.
class Gossip {
 public:
  /// The parts must outlive this. `seed`: of the random choices.
  Gossip(membership::Membership& members, replica::ObservationTracker& tracker, SnapshotReplicas& snapshots,
         const Bounds& bounds, std::uint32_t seed, Seconds now);
  Gossip(const Gossip&) = delete;
  Gossip& operator=(const Gossip&) = delete;

  /// Carries a state beside members and observations; each once, before anything is received.
  void add_state(replica::ReplicatedState& state) { shared_.states.push_back(&state); }

  /// A datagram from a peer.
  void receive(const ReceivedPacket& received, Seconds now);
  /// The next datagram to be sent; nullopt: none now.
  std::optional<Packet> next(Seconds now);
  /// When next() may have more without an input.
  Seconds next_due(Seconds now) const;

  /// Whether this router has not caught up with the fleet yet.
  bool catching_up() const { return exchange_.catching_up(); }
  /// Once after each catch-up.
  std::optional<CatchUpReport> take_catch_up_report() { return exchange_.take_report(); }
  /// Observations of others that were new here.
  std::uint64_t observations_received() const { return shared_.observations_received; }
  /// Items and messages that their state could not read.
  std::uint64_t unreadable_items() const { return unreadable_items_; }
  /// How far the others' clocks are ahead, see ClockOffsets; 0 where nothing is carried.
  Seconds clock_offset(Seconds now) const { return clocks_.median(now); }
  /// Of this router's copy, see digest.h.
  std::vector<std::uint64_t> digests() const;

 private:
  std::optional<Packet> next_packet(Seconds now);
  Packet packet_of(const membership::Probe& probe);
  void queue_messages(Seconds now);
  void queue_rumours(Seconds now);
  void queue_snapshots(Seconds now);
  void receive_item(const Item& item, Seconds now);
  void receive_message(int from, const Item& item, Seconds now);
  void receive_kind(const Packet& packet, Seconds now);
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
