/// \file
/// Times and sizes of gossip.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace walkpaddle::gossip {

/// Limits that keep a router's traffic independent of the fleet's size.
struct Bounds {
  /// Receivers of one round of rumours: half of a fleet of 300 have a rumour after four rounds, the last
  /// router after seven.
  int fanout = 4;
  /// Time between rounds. A new rumour goes out at once if the last round is longer ago than this.
  Seconds round_interval = 0.05;
  /// Mean time between comparisons with one member: what rumours missed is found within seconds.
  Seconds compare_interval = 2;
  /// The same while this router catches up.
  Seconds catch_up_interval = 0.1;
  /// How many members must have sent all that this router lacked before its catch-up ends. One is not enough,
  /// as it may lag behind itself.
  int catch_up_peers = 2;
  /// Observations in a datagram, 56 bytes each. Together with the records they fit an Ethernet frame.
  std::size_t observations_per_packet = 16;
  /// Member records in a datagram, 32 bytes each.
  std::size_t records_per_packet = 8;
  /// Delta datagrams sent for one digest, some 70 kB. The rest is left to the next comparison.
  std::size_t max_deltas = 64;
  /// Size of the send queue in datagrams. While no more than `max_deltas` of it are free, digests are not
  /// answered.
  std::size_t max_queued = 512;
  /// Rumours of each type of content. Further ones are dropped and left to comparisons.
  std::size_t max_rumours = 4096;
  /// Bytes of items of other states in a datagram; one item is always sent.
  std::size_t item_bytes_per_packet = 1040;
};

}  // namespace walkpaddle::gossip
