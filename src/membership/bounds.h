/// \file
/// Times and limits of the membership protocol.
#pragma once

#include "base/time.h"

namespace walkpaddle::membership {

/// Parameters of SWIM and Lifeguard, with the letters that the papers give them.
struct Bounds {
  /// Interval between two probes of one member: a dead one of 300 is probed by somebody within some
  /// milliseconds.
  Seconds probe_interval = 0.5;
  /// How long a direct answer may take. The rest of the probe interval is left for the helpers' answers.
  Seconds ack_timeout = 0.2;
  /// SWIM's k: how many members are asked to ping a member that did not answer. Three are enough at a loss of
  /// a few percent.
  int helpers = 3;
  /// Lifeguard's S: the upper limit of the local health score.
  int max_health_score = 8;
  /// Lifeguard's alpha: the shortest suspicion in probe intervals, for each power of ten in the number of
  /// members.
  double suspicion_multiplier = 4;
  /// Lifeguard's beta: the longest suspicion, one without confirmations, in multiples of the shortest.
  double max_suspicion_multiplier = 3;
  /// Lifeguard's K: a suspicion that this many other members confirm lasts the shortest time.
  int confirmations = 3;
};

}  // namespace walkpaddle::membership
