/// \file
/// What attempts in flight weigh on: their endpoint, and by their probability of a fill the location's link,
/// their source and the origin behind a parent; and what they take from the slow-start budgets of cold
/// endpoints.
#pragma once

#include "routing/endpoint_table.h"
#include "routing/reference_counter.h"
#include "routing/request_state.h"
#include "routing/route_selection.h"
#include "routing/service_time.h"
#include "routing/slow_start.h"

namespace walkpaddle::routing {

/// Adds attempts to what they weigh on, and takes them off at their end.
class AttemptAccounting {
 public:
  /// All of them must outlive it.
  struct Parts {
    const PolicyContext& context;       ///< settings and time
    EndpointTable& endpoints;           ///< whose limits are used
    SlowStart& slow_start;              ///< whose budgets are spent
    const ServiceTimes& service_times;  ///< for the work of an attempt
    FillEstimates& fills;               ///< the link, and the probability of a fill
    ReferenceCounters& counters;        ///< which cache has a copy
  };
  /// Keeps the references.
  explicit AttemptAccounting(const Parts& parts) : parts_(parts) {}

  /// An attempt begins; it is the caller's to add to the request.
  AttemptState begin(RequestState& request, const Route& route);
  /// The attempt is over; not to be called twice.
  void end(RequestState& request, AttemptState& attempt);

 private:
  AttemptState describe(const RequestState& request, const Route& route) const;
  void spend_slow_start_budgets(const RequestState& request, const Route& route);
  template <class Limits, class Count>
  void apply(AttemptState& attempt, const Limits& limits, const Count& count);

  Parts parts_;
};

}  // namespace walkpaddle::routing
