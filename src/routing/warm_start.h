/// \file
/// What the policy leaves to the next start of the router, and takes from the last.
#pragma once

#include <random>

#include "routing/endpoint_table.h"
#include "routing/reference_counter.h"
#include "routing/route_selection.h"
#include "routing/service_time.h"
#include "routing/slow_start.h"

namespace walkpaddle::routing {

/// The parts that have learnt something; all of them must outlive it.
struct WarmStartState {
  const PolicyContext& context;  ///< settings and time
  EndpointTable& endpoints;      ///< limits and reachability
  SlowStart& slow_start;         ///< which endpoints are cold
  ServiceTimes& service_times;   ///< means by class
  FillEstimates& fills;          ///< the link and the miss ratio
  ReferenceCounters& counters;   ///< of objects
};

/// What the next start may go on with.
WarmStartSnapshot take_snapshot(const WarmStartState& state);
/// After the settings and the first endpoint list. Limits that were reached before count by their age, never
/// at a cold endpoint, nor where one was reduced since. Prevents a router that returns from rejecting what it
/// bore before it went.
void restore_snapshot(const WarmStartState& state, const WarmStartSnapshot& snapshot, std::mt19937& random);

}  // namespace walkpaddle::routing
