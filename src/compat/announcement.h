/// \file
/// The protocol versions that a router announces it can read: one byte for each channel, packed into a 64-bit
/// field of its member record. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace walkpaddle::compat {

/// The announced channels; the value is the index of the channel's byte. New channels are added at the end,
/// and the value of a removed one is not reused.
enum class AnnouncedChannel : std::uint8_t { links, gossip, calendar, changes, store };
/// The number of announced channels.
constexpr int kAnnouncedChannels = 5;

/// Packs one version for each channel into an announcement. Version 0 announces nothing for that channel.
constexpr std::uint64_t announcement(const int (&versions)[kAnnouncedChannels]) {
  std::uint64_t reads = 0;
  for (int n = 0; n < kAnnouncedChannels; ++n)
    reads |= static_cast<std::uint64_t>(versions[n] & 255) << (8 * n);
  return reads;
}

/// The announced byte of a channel. 0 means that the router runs a program from before announcements, or does
/// not take part in this channel.
constexpr int announced_byte(std::uint64_t reads, AnnouncedChannel channel) {
  return static_cast<int>(reads >> (8 * static_cast<int>(channel)) & 255);
}

/// Whether the announcement has no version for the channel.
constexpr bool announces_nothing(std::uint64_t reads, AnnouncedChannel channel) {
  return announced_byte(reads, channel) == 0;
}

/// The version of the channel that the router reads. A router that announces none reads version 1.
constexpr int announced_version(std::uint64_t reads, AnnouncedChannel channel) {
  const int version = announced_byte(reads, channel);
  return version == 0 ? 1 : version;
}

/// The version in which to write to a channel: the lowest of the writer's own version `own` and the versions
/// that its readers announce. A 0 in `reads` stands for a reader without an announcement, which reads
/// version 1.
int version_to_write(int own, const std::vector<int>& reads);

}  // namespace walkpaddle::compat
