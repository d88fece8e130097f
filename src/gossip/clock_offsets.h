/// \file
/// How far this router's clock is from the others'. No I/O.
#pragma once

#include <map>

#include "base/time.h"

namespace walkpaddle::gossip {

/// Offsets by the datagrams' times of sending. A datagram's way counts as nothing: it is far under what
/// matters.
class ClockOffsets {
 public:
  /// A datagram of the peer that was sent at `sent_at` on its clock.
  void note(int peer, Seconds sent_at, Seconds now) { offsets_[peer] = {sent_at - now, now}; }
  /// The median of how far others that spoke lately are ahead of this router's clock; 0 where fewer than two
  /// did.
  Seconds median(Seconds now) const;

 private:
  struct Offset {
    Seconds ahead = 0;
    Seconds noted_at = 0;
  };
  std::map<int, Offset> offsets_;  // by peer
};

}  // namespace walkpaddle::gossip
