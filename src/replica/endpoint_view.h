/// \file
/// What an endpoint is taken for, read from the replicated observations. No I/O.
///
/// Bad news (slow, cold, draining, down, a lower limit) counts at once. It ends through the observer's own
/// later observation, by age, or when a quorum of other observers has seen the endpoint ready after it. What
/// is read never loosens what a router's own discovery says: the host hands on only what is worse.
#pragma once

#include <cstdint>
#include <optional>

#include "replica/endpoint_observations.h"

namespace walkpaddle::replica {

/// What the fleet takes one endpoint for.
struct EndpointView {
  Seconds started = 0;            ///< the latest start that was observed
  Health health = Health::ready;  ///< the worst that is in force
  double concurrency_limit = 0;   ///< the lowest of those in force; 0: none
  int observers = 0;              ///< that have an observation of this start
  HybridTimestamp newest;         ///< of the latest observation of this start
};

/// What the endpoint is taken for at `now`; nullopt if nothing is known of it.
std::optional<EndpointView> view_endpoint(const EndpointObservations& observations, std::uint64_t endpoint,
                                          HybridTimestamp now);

/// When this start was last seen in `at_least` this health or worse; zero if never.
HybridTimestamp last_observed(const EndpointObservations& observations, std::uint64_t endpoint,
                              Seconds started, Health at_least);

}  // namespace walkpaddle::replica
