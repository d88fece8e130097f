/// \file
/// Settings and current time, shared by all parts of the routing policy. The policy owns the only instance
/// and is its only writer; the parts hold a reference and must not outlive it.
#pragma once

#include <vector>

#include "base/time.h"
#include "routing/types.h"

namespace walkpaddle::routing {

/// Settings and current time.
struct PolicyContext {
  Seconds now = 0;                      ///< current time on the host's monotonic clock
  RouterPlacement placement{};          ///< location of this router
  EndpointRoles roles{};                ///< roles by endpoint model
  RetrySettings retries{};              ///< the platform's limits on retries
  FillSettings fills{};                 ///< capabilities of the caches
  ClientSettings clients{};             ///< behaviour of clients
  std::vector<RequestClass> classes{};  ///< by class index
  bool weights_are_transfers = false;   ///< an endpoint's weight is its link's capacity in client transfers
  bool polls_discovery = false;         ///< the endpoint list arrives only on request
};

}  // namespace walkpaddle::routing
