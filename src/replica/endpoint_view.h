/// \file
/// Derives the health of an endpoint from the replicated observations. No I/O.
///
/// A bad observation (slow, cold, draining, down, a lower limit) counts at once. It stops counting when the
/// same observer has a later one, by its age, or when a quorum of other observers has seen the endpoint ready
/// since. The result never improves on a router's own discovery: ObservationTracker passes on only what is
/// worse.
#pragma once

#include <cstdint>
#include <optional>

#include "replica/endpoint_observations.h"

namespace walkpaddle::replica {

/// The fleet's combined view of one endpoint.
struct EndpointView {
  Seconds started = 0;            ///< the latest start that was observed, on discovery's clock
  Health health = Health::ready;  ///< the worst health in force
  double concurrency_limit = 0;   ///< the lowest limit in force; 0: none
  int observers = 0;              ///< number of observers with an observation of this start
  HybridTimestamp newest;         ///< time of the latest observation of this start
};

/// The fleet's view of the endpoint at `now`; nullopt if there is no observation of it.
std::optional<EndpointView> view_endpoint(const EndpointObservations& observations, std::uint64_t endpoint,
                                          HybridTimestamp now);

/// The time of the latest observation of this start with health `at_least` or worse; zero if there is none.
HybridTimestamp last_observed(const EndpointObservations& observations, std::uint64_t endpoint,
                              Seconds started, Health at_least);

}  // namespace walkpaddle::replica
