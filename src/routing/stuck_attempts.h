/// \file
/// Attempts that wait in vain: at endpoints that fell silent, or past all patience of their class.
#pragma once

#include <vector>

#include "routing/context.h"
#include "routing/endpoint_table.h"
#include "routing/outlier_detection.h"
#include "routing/request_state.h"
#include "routing/service_time.h"

namespace walkpaddle::routing {

/// Finds attempts that wait in vain, once a tick.
class StuckAttempts {
 public:
  /// All of them must outlive it.
  struct Parts {
    const PolicyContext& context;         ///< settings and time
    EndpointTable& endpoints;             ///< whose limits learn of lost attempts
    OutlierDetector& outliers;            ///< which endpoints are silent
    const ServiceTimes& service_times;    ///< how long attempts take
    std::vector<RequestState>& requests;  ///< open and over
  };
  /// Keeps the references.
  explicit StuckAttempts(const Parts& parts) : parts_(parts) {}

  /// Ejects the endpoints that several attempts wait for and nothing is heard of.
  void eject_silent_endpoints();
  /// Marks the attempts that are to be cancelled, and appends a decision for each; of idempotent requests
  /// only.
  void cancel(std::vector<Decision>& decisions);

 private:
  bool may_cancel(const RequestState& request) const;
  int lost_endpoint(const RequestState& request, const AttemptState& attempt);

  Parts parts_;
};

}  // namespace walkpaddle::routing
