/// \file
/// The suspicion timeout of Lifeguard (Dadgar, Phillips and Currey, 2018). No I/O.
#pragma once

#include "membership/bounds.h"

namespace walkpaddle::membership {

/// The time from the start of a suspicion until the member counts as dead. It grows with the fleet and
/// shrinks with the confirmations. `members`: how many are alive, this router included. `confirmations`: how
/// many other members suspect it too.
Seconds suspicion_timeout(const Bounds& bounds, int members, int confirmations);

}  // namespace walkpaddle::membership
