/// \file
/// What a router announces of the versions that it reads: one byte a channel, in a member's record. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace walkpaddle::compat {

/// The channels that are announced, by their byte. New ones are added at the end, none is ever taken again.
enum class AnnouncedChannel : std::uint8_t { links, gossip, calendar, changes, store };
/// How many channels are announced.
constexpr int kAnnouncedChannels = 5;

/// The announcement of one version a channel; 0 announces nothing of it.
constexpr std::uint64_t announcement(const int (&versions)[kAnnouncedChannels]) {
  std::uint64_t reads = 0;
  for (int n = 0; n < kAnnouncedChannels; ++n)
    reads |= static_cast<std::uint64_t>(versions[n] & 255) << (8 * n);
  return reads;
}

/// The byte of the channel; 0: an older program, or one that takes no part.
constexpr int announced_byte(std::uint64_t reads, AnnouncedChannel channel) {
  return static_cast<int>(reads >> (8 * static_cast<int>(channel)) & 255);
}

/// Whether the router says nothing of the channel.
constexpr bool announces_nothing(std::uint64_t reads, AnnouncedChannel channel) {
  return announced_byte(reads, channel) == 0;
}

/// The version that the router reads; one that announces nothing reads version 1.
constexpr int announced_version(std::uint64_t reads, AnnouncedChannel channel) {
  const int version = announced_byte(reads, channel);
  return version == 0 ? 1 : version;
}

/// The version that a writer may write on a channel: the lowest that all its readers read. `reads` are their
/// announcements, 0 for a router that does not announce, which reads version 1.
int version_to_write(int own, const std::vector<int>& reads);

}  // namespace walkpaddle::compat
