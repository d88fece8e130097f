/// \file
/// How old a copy may be that answers a request, by its class and by the purges.
#pragma once

#include "base/time.h"

namespace walkpaddle::routing {

/// What bounds the age of a copy.
struct FreshnessBounds {
  Seconds class_max_age = 0;  ///< of the request's class; 0: no limit
  Seconds valid_since = 0;    ///< copies made before are purged; 0: none
  Seconds max_copy_age = 0;   ///< no older copy of any object will do; 0: no limit
};

/// The oldest copy that will do: 0 for the class's own limit, never 0 where a purge covers it. It goes with
/// the attempt to its source and to the fill that it joins.
Seconds copy_age_limit(const FreshnessBounds& bounds, Seconds now);

}  // namespace walkpaddle::routing
