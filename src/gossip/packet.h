/// \file
/// A decoded gossip datagram, and the queue of those to send. Plain data, no I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gossip/replicated_snapshot.h"
#include "membership/member.h"
#include "membership/prober.h"
#include "replica/endpoint_observation.h"

namespace walkpaddle::gossip {

/// The purpose of a datagram. Any kind may carry records, observations and items besides. The values go over
/// the wire; the first four are those of membership::Probe::Kind.
enum class PacketKind : std::uint8_t {
  ping,
  ack,
  nack,
  ping_request,
  rumours,           ///< carries new records, observations and items
  digest,            ///< starts a comparison; has the digests of all ranges
  digest_reply,      ///< the answerer's digests, sent after its deltas
  delta,             ///< entries of ranges that differ
  snapshot,          ///< a part of a replicated snapshot
  snapshot_request,  ///< asks for the replica of the sender's own snapshot
  message            ///< a message of one kind of replicated state to one router
};
static_assert(static_cast<int>(PacketKind::ping_request) ==
              static_cast<int>(membership::Probe::Kind::ping_request));

/// An item or a message of one kind of replicated state.
struct Item {
  std::uint8_t kind = 0;  ///< replica::ReplicatedState::number()
  std::string bytes;      ///< encoded by the kind
};

/// A datagram to or from a peer.
struct Packet {
  PacketKind kind = PacketKind::rumours;  ///< may have an unknown value if sent by a newer router
  int peer = -1;                          ///< index of the sender or receiver among the peers
  std::uint64_t number = 0;               ///< sequence number of the probe or comparison
  std::uint64_t target_name = 0;          ///< for a ping request: as in membership::Probe
  std::uint32_t deltas = 0;               ///< for a digest reply: how many deltas were sent before it
  bool truncated = false;                 ///< for a digest reply: some ranges that differ were left out
  std::vector<membership::MemberRecord> records{};           ///< to be joined by the receiver
  std::vector<replica::EndpointObservation> observations{};  ///< to be joined by the receiver
  std::vector<std::uint64_t> digests{};                      ///< for all ranges, see digest.h
  std::shared_ptr<const ReplicatedSnapshot> snapshot{};      ///< for kind `snapshot`; else null
  std::vector<Item> items{};  ///< to be joined; for kind `message`: the message itself
  Seconds sent_at = 0;        ///< on the sender's clock; 0: not given
};

/// A datagram with what it states about its sender.
struct ReceivedPacket {
  Packet packet;                       ///< `peer` is the sender
  std::uint64_t incarnation = 0;       ///< the sender's
  std::uint64_t channel_versions = 0;  ///< as in membership::MemberRecord
};

/// The queue of datagrams to send.
class PacketQueue {
 public:
  /// `max_size`: the size that free_slots() counts from. push() does not enforce it.
  explicit PacketQueue(std::size_t max_size) : max_size_(max_size) {}
  /// Appends a datagram.
  void push(Packet packet) { packets_.push_back(std::move(packet)); }
  /// Removes the first datagram; nullopt if there is none.
  std::optional<Packet> pop() {
    if (packets_.empty()) return std::nullopt;
    auto packet = std::move(packets_.front());
    packets_.pop_front();
    return packet;
  }
  std::size_t size() const { return packets_.size(); }  ///< number of queued datagrams
  bool empty() const { return packets_.empty(); }       ///< whether nothing is queued
  /// How many more datagrams fit below the maximum size.
  std::size_t free_slots() const { return max_size_ - std::min(max_size_, packets_.size()); }

 private:
  const std::size_t max_size_;
  std::deque<Packet> packets_;
};

}  // namespace walkpaddle::gossip
