/// \file
/// Selection of the endpoint and the source of an attempt: the first cache in the object's ranking that is
/// usable and has capacity, and a source for a miss there. Where no cache has capacity, the selection departs
/// from the ranking as little as possible (docs/design.md).
#pragma once

#include <cstdint>

#include "routing/endpoint_table.h"
#include "routing/outlier_detection.h"
#include "routing/reference_counter.h"
#include "routing/request_state.h"
#include "routing/service_time.h"
#include "routing/slow_start.h"

namespace walkpaddle::routing {

/// Endpoint and source of an attempt.
struct Route {
  int endpoint = -1;         ///< endpoint of the attempt; -1: no endpoint has capacity
  int source = -1;           ///< source of a fill; equal to `endpoint` if there is to be none
  bool cached_only = false;  ///< the source supplies only what it has cached
};

/// Estimated miss ratios, and the limit of fills over the location's link.
struct FillEstimates {
  ConcurrencyLimit link{
      {.initial = 8, .floor = 1.5}};  ///< this router's fills over the location's incoming link
  UnqueuedMean cache_misses{0.5};     ///< share of attempts at a cache that need a fill
  UnqueuedMean parent_misses{0.5};    ///< share of fills that a parent fetches from the origin
};

/// Selects the endpoint and the source of an attempt.
class RouteSelector {
 public:
  /// Parts of the policy that it uses; all must outlive it.
  struct Parts {
    const PolicyContext& context;       ///< settings and current time
    const EndpointTable& endpoints;     ///< endpoints, ranked per object
    const OutlierDetector& outliers;    ///< which endpoints are usable
    const SlowStart& slow_start;        ///< budgets of cold endpoints
    const ServiceTimes& service_times;  ///< weight and work of an attempt
    const FillEstimates& fills;         ///< capacity of the link, miss ratios
    ReferenceCounters& counters;        ///< which cache has a copy
  };
  /// Stores the references in `parts`.
  explicit RouteSelector(const Parts& parts) : parts_(parts) {}

  /// Selects a route for a request of a cacheable class.
  Route select(const RequestState& request) const;
  /// Selects a route for a request of an uncacheable class: directly to the origin, or through a cache where
  /// attempts cannot be sent to the origin.
  Route select_uncacheable(const RequestState& request) const;

 private:
  class CacheCapacity;
  /// The cache that last had a copy of the object.
  struct KnownCopy {
    int cache = -1;
    bool recent = false;
  };
  Route select_fill(const RequestState& request, int cache, const KnownCopy& copy) const;
  Route select_without_cache(const RequestState& request) const;
  int select_source(const RequestState& request) const;
  KnownCopy known_copy(const RequestState& request) const;
  bool sibling_supplies(const RequestState& request, int cache, const KnownCopy& copy) const;
  template <class Fits>
  int first_usable(EndpointOrder::Ranking& ranking, Fits&& fits) const;

  Parts parts_;
};

}  // namespace walkpaddle::routing
