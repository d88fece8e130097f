/// \file
/// Detection of attempts that will not be answered: those at silent endpoints, and those past the loss
/// timeout of their class.
#pragma once

#include <vector>

#include "routing/context.h"
#include "routing/endpoint_table.h"
#include "routing/outlier_detection.h"
#include "routing/request_state.h"
#include "routing/service_time.h"

namespace walkpaddle::routing {

/// Finds stuck attempts; runs once per tick.
class StuckAttempts {
 public:
  /// Parts of the policy that it uses; all must outlive it.
  struct Parts {
    const PolicyContext& context;         ///< settings and current time
    EndpointTable& endpoints;             ///< endpoints whose limits record lost attempts
    OutlierDetector& outliers;            ///< which endpoints are silent
    const ServiceTimes& service_times;    ///< loss timeouts
    std::vector<RequestState>& requests;  ///< all requests, open or not
  };
  /// Stores the references in `parts`.
  explicit StuckAttempts(const Parts& parts) : parts_(parts) {}

  /// Ejects the silent endpoints that several attempts wait for.
  void eject_silent_endpoints();
  /// Appends a cancel decision for each stuck attempt of an idempotent request and marks the attempt.
  void cancel(std::vector<Decision>& decisions);

 private:
  bool may_cancel(const RequestState& request) const;
  int lost_endpoint(const RequestState& request, const AttemptState& attempt);

  Parts parts_;
};

}  // namespace walkpaddle::routing
