/// \file
/// What all parts of the routing policy read: the settings and the present time. The policy owns the one copy
/// and alone writes it; the parts hold a reference and must not outlive it.
#pragma once

#include <vector>

#include "base/time.h"
#include "routing/types.h"

namespace walkpaddle::routing {

/// Settings and time.
struct PolicyContext {
  Seconds now = 0;                      ///< the present time on the host's clock
  RouterPlacement placement{};          ///< where this router stands
  EndpointRoles roles{};                ///< how models map to roles
  RetrySettings retries{};              ///< what the platform allows of retries
  FillSettings fills{};                 ///< what the platform's caches can do
  ClientSettings clients{};             ///< what clients do
  std::vector<RequestClass> classes{};  ///< by the class's number
  bool weights_are_transfers = false;   ///< endpoints' weights are links, in transfers at a client's rate
  bool polls_discovery = false;         ///< the endpoint list comes only when it is asked for
};

}  // namespace walkpaddle::routing
