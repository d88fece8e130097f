/// \file
/// Accounting of the load that attempts in flight put on their endpoint and, weighted by the probability of a
/// fill, on the location's link, their source and the origin behind a parent; and of the work charged to the
/// slow-start budgets of cold endpoints.
#pragma once

#include "routing/endpoint_table.h"
#include "routing/reference_counter.h"
#include "routing/request_state.h"
#include "routing/route_selection.h"
#include "routing/service_time.h"
#include "routing/slow_start.h"

namespace walkpaddle::routing {

/// Reserves capacity for an attempt when it begins and releases it when it ends.
class AttemptAccounting {
 public:
  /// Parts of the policy that it uses; all must outlive it.
  struct Parts {
    const PolicyContext& context;       ///< settings and current time
    EndpointTable& endpoints;           ///< endpoints whose limits are reserved and released
    SlowStart& slow_start;              ///< budgets of cold endpoints
    const ServiceTimes& service_times;  ///< work of an attempt
    FillEstimates& fills;               ///< limit of the link, probability of a fill
    ReferenceCounters& counters;        ///< which cache has a copy
  };
  /// Stores the references in `parts`.
  explicit AttemptAccounting(const Parts& parts) : parts_(parts) {}

  /// Begins an attempt. The caller adds the result to the request's attempts.
  AttemptState begin(RequestState& request, const Route& route);
  /// Ends an attempt. Must be called once for each.
  void end(RequestState& request, AttemptState& attempt);

 private:
  AttemptState describe(const RequestState& request, const Route& route) const;
  void spend_slow_start_budgets(const RequestState& request, const Route& route);
  template <class Limits, class Count>
  void apply(AttemptState& attempt, const Limits& limits, const Count& count);

  Parts parts_;
};

}  // namespace walkpaddle::routing
