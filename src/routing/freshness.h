/// \file
/// Maximum age of a copy that may answer a request, from its class and from purges.
#pragma once

#include "base/time.h"

namespace walkpaddle::routing {

/// The bounds on the age of a copy.
struct FreshnessBounds {
  Seconds class_max_age = 0;  ///< maximum age set for the request class; 0: unlimited
  Seconds valid_since = 0;    ///< copies made earlier are purged; 0: none are
  Seconds max_copy_age = 0;   ///< maximum age of a copy of any object; 0: unlimited
};

/// Maximum age of a copy that may answer. 0 means that only the class's own limit applies; where a purge
/// applies the result is above 0. The limit is sent with the attempt and holds for its source and for a fill
/// that it joins.
Seconds copy_age_limit(const FreshnessBounds& bounds, Seconds now);

}  // namespace walkpaddle::routing
