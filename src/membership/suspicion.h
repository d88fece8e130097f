/// \file
/// How long a suspicion lasts (Lifeguard: Dadgar, Phillips and Currey, 2018). No I/O.
#pragma once

#include "membership/bounds.h"

namespace walkpaddle::membership {

/// From the suspicion until the member counts as dead: the longer the fewer confirm it, and the larger the
/// fleet. `members`: alive, this router included. `confirmations`: other members that suspect it too.
Seconds suspicion_timeout(const Bounds& bounds, int members, int confirmations);

}  // namespace walkpaddle::membership
