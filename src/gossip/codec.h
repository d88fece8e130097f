/// \file
/// Encodes and decodes gossip datagrams and what gossip keeps in the store (Cap'n Proto, fleet/fleet.capnp).
/// Bytes that cannot be decoded raise InputError. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "gossip/gossip.h"
#include "gossip/packet.h"

namespace walkpaddle::gossip {

constexpr std::size_t kMaxPacketBytes = 4096;  ///< longer datagrams are refused

/// Maps the stable hash of a router's name to the index of that peer; -1 if it is not in the fleet.
using PeerOf = std::function<int(std::uint64_t name)>;

/// Encodes a datagram. `self`: the sender's own record.
std::string encode_packet(const Packet& packet, const membership::MemberRecord& self);

/// Decodes a datagram; nullopt if the sender is not in the fleet, in which case the rest is not read. Throws
/// InputError.
std::optional<ReceivedPacket> decode_packet(std::string_view bytes, const PeerOf& peer_of);

/// Decodes a whole datagram and then passes it to `gossip`; false, and nothing is passed on, if the sender is
/// not in the fleet. Throws InputError before anything is passed on.
bool deliver_packet(std::string_view bytes, const PeerOf& peer_of, Gossip& gossip, Seconds now);

/// Encodes an observation for the store.
std::string encode_observation(const replica::EndpointObservation& observation);
/// Decodes an observation from the store. Throws InputError.
replica::EndpointObservation decode_observation(std::string_view bytes);

/// Encodes a snapshot for the store.
std::string encode_snapshot(const ReplicatedSnapshot& snapshot);
/// Decodes a snapshot from the store. Throws InputError.
ReplicatedSnapshot decode_snapshot(std::string_view bytes);

}  // namespace walkpaddle::gossip
