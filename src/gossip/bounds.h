/// \file
/// Times and sizes of the gossip.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace walkpaddle::gossip {

/// With these a router's load does not grow with the fleet.
struct Bounds {
  /// Receivers of one round of rumours: half of 300 know after four rounds, the last after seven.
  int fanout = 4;
  /// Between rounds; the first of a rumour goes at once.
  Seconds round_interval = 0.05;
  /// Between comparisons with one member, in calm: what rumours missed is found in seconds.
  Seconds compare_interval = 2;
  /// The same while this router catches up.
  Seconds catch_up_interval = 0.1;
  /// Members that have sent all end a catch-up: one may lag itself.
  int catch_up_peers = 2;
  /// Of a datagram: 56 bytes each, with the records within an Ethernet frame.
  std::size_t observations_per_packet = 16;
  /// Of a datagram: 32 bytes each.
  std::size_t records_per_packet = 8;
  /// Deltas for one digest: some 70 kB, then the next comparison.
  std::size_t max_deltas = 64;
  /// Datagrams that wait to go out; past it digests are not answered.
  std::size_t max_queued = 512;
  /// Of each sort; past it only comparisons carry.
  std::size_t max_rumours = 4096;
  /// Of other states' items in a datagram, at least one item.
  std::size_t item_bytes_per_packet = 1040;
};

}  // namespace walkpaddle::gossip
