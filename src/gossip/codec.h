/// \file
/// Datagrams of the gossip as bytes (Cap'n Proto, fleet/fleet.capnp), and what it keeps in the store. What
/// cannot be read is InputError. No I/O.
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

constexpr std::size_t kMaxPacketBytes = 4096;  ///< a longer datagram is refused

/// Gives the number of the peer of that name, -1 for a stranger.
using PeerOf = std::function<int(std::uint64_t name)>;

/// The bytes of a datagram. `self`: what its sender says of itself.
std::string encode_packet(const Packet& packet, const membership::MemberRecord& self);

/// Reads a datagram; nullopt if its sender is a stranger, of whom nothing is read. Throws InputError.
std::optional<ReceivedPacket> decode_packet(std::string_view bytes, const PeerOf& peer_of);

/// Reads a datagram whole before anything of it is handed on; false if its sender is a stranger, of whom
/// nothing is taken. Throws InputError.
bool deliver_packet(std::string_view bytes, const PeerOf& peer_of, Gossip& gossip, Seconds now);

/// An observation as it stands in the store.
std::string encode_observation(const replica::EndpointObservation& observation);
/// Throws InputError if it cannot be read.
replica::EndpointObservation decode_observation(std::string_view bytes);

/// A snapshot as it stands in the store.
std::string encode_snapshot(const ReplicatedSnapshot& snapshot);
/// Throws InputError if it cannot be read.
ReplicatedSnapshot decode_snapshot(std::string_view bytes);

}  // namespace walkpaddle::gossip
