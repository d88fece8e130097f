/// \file
/// Estimates how far this router's clock is off from the other routers' clocks. No I/O.
#pragma once

#include <map>

#include "base/time.h"

namespace walkpaddle::gossip {

/// Clock offsets of the peers, taken from the send times in their datagrams. The transit time is ignored, as
/// it is far below the offsets that matter.
class ClockOffsets {
 public:
  /// Records a datagram that the peer sent at `sent_at` on its clock and that arrived at `now` on this
  /// router's.
  void note(int peer, Seconds sent_at, Seconds now) { offsets_[peer] = {sent_at - now, now}; }
  /// The median offset of the peers whose datagrams arrived in the last minute, in seconds; above 0 if they
  /// are ahead of this router's clock. 0 if there are fewer than two such peers.
  Seconds median(Seconds now) const;

 private:
  struct Offset {
    Seconds ahead = 0;
    Seconds noted_at = 0;
  };
  std::map<int, Offset> offsets_;  // by the peer's index
};

}  // namespace walkpaddle::gossip
