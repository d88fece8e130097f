/// \file
/// Places discovery's wall-clock stamps on this router's monotonic clock. The two clocks may differ by any
/// amount, and either may step; a stamp is evidence of an order, never a time to compare with our own. No
/// I/O.
///
/// Every result errs to the safe side: a purge counts from no earlier than it happened, so that no older copy
/// passes; an endpoint counts as started no earlier than it did, so that its slow start is never cut short.
#pragma once

#include <optional>
#include <unordered_map>

#include "base/time.h"

namespace walkpaddle::net {

/// Both clocks, as far as stamps and their arrivals show them.
class DiscoveryClock {
 public:
  /// The events of the configuration follow, the newest of which has that stamp (0: none has one).
  /// Discovery's clock was at that stamp or later when they were written, so each is at least as old as its
  /// distance to the newest.
  void begin_initial_events(Seconds newest_stamp, Seconds now);
  /// What follows happens while it is told.
  void end_initial_events() { reads_initial_events_ = false; }
  /// A whole frame came.
  void frame_received(Seconds now) { last_received_at_ = now; }

  /// When the purge with this stamp happened, at the latest. A live one counts from its arrival: the copies
  /// made between the two are fetched once more.
  Seconds purged_at(Seconds stamp, Seconds now);
  /// When the endpoint started, at the latest; the same for the same stamp. 0 for a start long ago.
  Seconds started_at(int endpoint, Seconds stamp, Seconds now);

 private:
  struct Start {
    Seconds stamp = 0;  // of discovery
    Seconds at = 0;     // on our clock
  };
  void observe(Seconds stamp, Seconds now);

  // Our time less discovery's, at most: the least seen from a stamp to its arrival.
  std::optional<Seconds> offset_;
  Seconds last_received_at_ = 0;
  bool reads_initial_events_ = false;
  std::unordered_map<int, Start> starts_;  // by endpoint, of which there are as many as discovery lists
};

}  // namespace walkpaddle::net
