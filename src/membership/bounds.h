/// \file
/// Times and numbers of the membership protocol.
#pragma once

#include "base/time.h"

namespace walkpaddle::membership {

/// With the names of SWIM and Lifeguard where they have one.
struct Bounds {
  /// Between two probes: a dead one of 300 is probed by somebody within some milliseconds.
  Seconds probe_interval = 0.5;
  /// Of a direct answer; the rest of the interval is for the helpers'.
  Seconds ack_timeout = 0.2;
  /// SWIM's k, members asked to probe in this one's place: enough at a few percent of loss.
  int helpers = 3;
  /// Lifeguard's S, the bound of the local health score.
  int max_health_score = 8;
  /// Lifeguard's alpha: the shortest suspicion in probe intervals, for each power of ten of members.
  double suspicion_multiplier = 4;
  /// Lifeguard's beta: the longest suspicion, one that nobody confirms, in multiples of the shortest.
  double max_suspicion_multiplier = 3;
  /// Lifeguard's K: confirmed by so many others a suspicion lasts the shortest time.
  int confirmations = 3;
};

}  // namespace walkpaddle::membership
