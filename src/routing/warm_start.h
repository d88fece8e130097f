/// \file
/// Snapshot of the policy's estimates for the next start of the router, and its restoration.
#pragma once

#include <random>

#include "routing/endpoint_table.h"
#include "routing/reference_counter.h"
#include "routing/route_selection.h"
#include "routing/service_time.h"
#include "routing/slow_start.h"

namespace walkpaddle::routing {

/// The parts of the policy that a snapshot is taken from and restored to; all must outlive it.
struct WarmStartState {
  const PolicyContext& context;  ///< settings and current time
  EndpointTable& endpoints;      ///< limits and reachability of endpoints
  SlowStart& slow_start;         ///< which endpoints are cold
  ServiceTimes& service_times;   ///< mean sending times by class
  FillEstimates& fills;          ///< limit of the link and miss ratio
  ReferenceCounters& counters;   ///< reference counters of objects
};

/// Takes a snapshot for the next start.
WarmStartSnapshot take_snapshot(const WarmStartState& state);
/// Restores a snapshot. Must follow the settings and the first endpoint list. Limits are reduced by the age
/// of the snapshot, and not restored at cold endpoints or where a limit was reduced since. A router without
/// its earlier limits would reject, after a restart, load that it could forward before.
void restore_snapshot(const WarmStartState& state, const WarmStartSnapshot& snapshot, std::mt19937& random);

}  // namespace walkpaddle::routing
