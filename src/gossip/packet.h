/// \file
/// One datagram of the gossip, decoded. Plain data, no I/O.
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

/// What a datagram is for; any kind may carry records, observations and items besides. The numbers are on the
/// wire, the first four those of membership::Probe::Kind.
enum class PacketKind : std::uint8_t {
  ping,
  ack,
  nack,
  ping_request,
  rumours,           ///< what is new
  digest,            ///< digests of all ranges, to be compared
  digest_reply,      ///< the other's digests, after what it sent of ranges that differ
  delta,             ///< a part of the ranges that differ
  snapshot,          ///< a part of a replicated snapshot
  snapshot_request,  ///< asks for the sender's own snapshot
  message            ///< from one router to another, of one kind of replicated state
};
static_assert(static_cast<int>(PacketKind::ping_request) ==
              static_cast<int>(membership::Probe::Kind::ping_request));

/// An item or a message of a kind of replicated state.
struct Item {
  std::uint8_t kind = 0;  ///< replica::ReplicatedState::number()
  std::string bytes;      ///< in the kind's own form
};

/// One datagram, to or from a peer.
struct Packet {
  PacketKind kind = PacketKind::rumours;            ///< of a newer router: any number
  int peer = -1;                                    ///< the other side, by its number among the members
  std::uint64_t number = 0;                         ///< of a probe or a comparison
  std::uint64_t target_name = 0;                    ///< of a ping request: whom to ping, by name
  std::uint32_t deltas = 0;                         ///< of a digest reply: how many deltas went before it
  bool truncated = false;                           ///< of a digest reply: not all that differs had room
  std::vector<membership::MemberRecord> records{};  ///< to be joined
  std::vector<replica::EndpointObservation> observations{};  ///< to be joined
  std::vector<std::uint64_t> digests{};                      ///< of all ranges, see digest.h
  std::shared_ptr<const ReplicatedSnapshot> snapshot{};      ///< of the kind `snapshot`; else null
  std::vector<Item> items{};                                 ///< of a message: the one that it is
  Seconds sent_at = 0;                                       ///< on the sender's clock; 0: it does not say
};

/// A datagram with what it says of its sender.
struct ReceivedPacket {
  Packet packet;                       ///< `peer` is the sender
  std::uint64_t incarnation = 0;       ///< of the sender
  std::uint64_t channel_versions = 0;  ///< as in membership::MemberRecord
};

/// Datagrams that wait to go out, of a bounded number.
class PacketQueue {
 public:
  /// `max_size`: what free_slots() counts from; push() itself is not bounded by it.
  explicit PacketQueue(std::size_t max_size) : max_size_(max_size) {}
  /// Adds a datagram at the end.
  void push(Packet packet) { packets_.push_back(std::move(packet)); }
  /// The first one; nullopt: there is none.
  std::optional<Packet> pop() {
    if (packets_.empty()) return std::nullopt;
    auto packet = std::move(packets_.front());
    packets_.pop_front();
    return packet;
  }
  std::size_t size() const { return packets_.size(); }  ///< datagrams that wait
  bool empty() const { return packets_.empty(); }       ///< whether none waits
  /// How many more may wait before others are to be refused.
  std::size_t free_slots() const { return max_size_ - std::min(max_size_, packets_.size()); }

 private:
  const std::size_t max_size_;
  std::deque<Packet> packets_;
};

}  // namespace walkpaddle::gossip
