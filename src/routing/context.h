/// \file
/// What all parts of the routing policy read: the settings and the present time. The policy owns the one copy
/// and alone writes it; the parts hold a reference and must not outlive it.
#pragma once

#include <vector>

#include "base/time.h"
#include "routing/types.h"

namespace walkpaddle::routing {

struct PolicyContext {
  Seconds now = 0;
  RouterPlacement placement{};
  EndpointRoles roles{};
  RetrySettings retries{};
  FillSettings fills{};
  ClientSettings clients{};
  std::vector<RequestClass> classes{};
  bool weights_are_transfers = false;  ///< endpoints' weights are links, in transfers at a client's rate
  bool polls_discovery = false;
};

}  // namespace walkpaddle::routing
