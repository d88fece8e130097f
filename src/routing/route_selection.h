/// \file
/// Where an attempt goes: the first cache in the object's order that is usable and has capacity, and from
/// where a miss there is filled. Where none has, the smallest departures from that order (docs/design.md).
#pragma once

#include <cstdint>

#include "routing/endpoint_table.h"
#include "routing/outlier_detection.h"
#include "routing/reference_counter.h"
#include "routing/request_state.h"
#include "routing/service_time.h"
#include "routing/slow_start.h"

namespace walkpaddle::routing {

/// Where one attempt goes.
struct Route {
  int endpoint = -1;         ///< -1: none can take it now
  int source = -1;           ///< who supplies a miss; the endpoint itself for none
  bool cached_only = false;  ///< the source gives only what it holds
};

/// What is known of misses, and of the link that fills come over.
struct FillEstimates {
  ConcurrencyLimit link{
      {.initial = 8, .floor = 1.5}};  ///< this router's fills over the location's incoming link
  UnqueuedMean cache_misses{0.5};     ///< share of attempts at a cache that draw a fill
  UnqueuedMean parent_misses{0.5};    ///< share of fills that a parent fetches from the origin
};

/// Chooses the endpoint and the source of an attempt.
class RouteSelector {
 public:
  /// All of them must outlive it.
  struct Parts {
    const PolicyContext& context;       ///< settings and time
    const EndpointTable& endpoints;     ///< in their order for each object
    const OutlierDetector& outliers;    ///< which of them are usable
    const SlowStart& slow_start;        ///< what cold ones may be sent
    const ServiceTimes& service_times;  ///< the weight of an attempt
    const FillEstimates& fills;         ///< whether the link has capacity
    ReferenceCounters& counters;        ///< which cache lately had an object
  };
  /// Keeps the references.
  explicit RouteSelector(const Parts& parts) : parts_(parts) {}

  /// Of a class that is cached.
  Route select(const RequestState& request) const;
  /// Of a class that is not cached: straight to the origin, or through a cache where the origin takes no
  /// attempts.
  Route select_uncacheable(const RequestState& request) const;

 private:
  class CacheCapacity;
  /// A cache that lately had the object.
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
