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

class AttemptAccounting {
 public:
  /// All of them must outlive it.
  struct Parts {
    const PolicyContext& context;
    EndpointTable& endpoints;
    SlowStart& slow_start;
    const ServiceTimes& service_times;
    FillKnowledge& fills;
    ReferenceCounters& counters;
  };
  explicit AttemptAccounting(const Parts& parts) : parts_(parts) {}

  /// An attempt begins; it is the caller's to add to the request.
  AttemptState begin(RequestState& request, const Route& route);
  void end(RequestState& request, AttemptState& attempt);

 private:
  AttemptState describe(const RequestState& request, const Route& route) const;
  void spend_slow_start_budgets(const RequestState& request, const Route& route);
  template <class Limits, class Count>
  void apply(AttemptState& attempt, const Limits& limits, const Count& count);

  Parts parts_;
};

}  // namespace walkpaddle::routing
