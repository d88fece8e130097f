/// \file
/// Converts discovery's wall-clock stamps to this router's monotonic clock. The two clocks may differ by any
/// amount, and either may step. Stamps are therefore never compared with this router's clock directly, only
/// with each other and with the times of their arrival. No I/O.
///
/// Every result errs on the safe side. A purge never counts as earlier than it happened, so that no older
/// copy is served. An endpoint never counts as started earlier than it was, so that its slow start is not cut
/// short.
#pragma once

#include <optional>
#include <unordered_map>

#include "base/time.h"

namespace walkpaddle::net {

/// Estimates the offset between the two clocks from stamps and the times of their arrival.
class DiscoveryClock {
 public:
  /// The events of the configuration follow; `newest_stamp` is the newest stamp among them, 0 if there is
  /// none. Discovery's clock had reached that stamp when they were written, so each event is at least as old
  /// as its stamp is older than the newest.
  void begin_initial_events(Seconds newest_stamp, Seconds now);
  /// The events after this call are live: they are reported while they happen.
  void end_initial_events() { reads_initial_events_ = false; }
  /// A whole frame was received.
  void frame_received(Seconds now) { last_received_at_ = now; }

  /// The latest time at which the purge with this stamp can have happened. For a live purge this is its
  /// arrival; copies made between the purge and its arrival are fetched again.
  Seconds purged_at(Seconds stamp, Seconds now);
  /// The latest time at which the endpoint can have started; unchanged while the stamp stays the same. 0 for
  /// a stamp of 0, a start long ago.
  Seconds started_at(int endpoint, Seconds stamp, Seconds now);

 private:
  struct Start {
    Seconds stamp = 0;  // on discovery's clock
    Seconds at = 0;     // on this router's clock
  };
  void observe(Seconds stamp, Seconds now);

  // Upper bound of this router's time minus discovery's: the least difference of an arrival and its stamp.
  std::optional<Seconds> offset_;
  Seconds last_received_at_ = 0;
  bool reads_initial_events_ = false;
  std::unordered_map<int, Start> starts_;  // by endpoint; bounded by the endpoints that discovery lists
};

}  // namespace walkpaddle::net
