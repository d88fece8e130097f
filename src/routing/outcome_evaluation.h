/// \file
/// Evaluation of an attempt that ended: updates the health and limits of its endpoint, its source, the origin
/// behind a parent and the link, and the estimates of service times and cached copies.
#pragma once

#include <random>

#include "routing/endpoint_table.h"
#include "routing/outlier_detection.h"
#include "routing/reference_counter.h"
#include "routing/request_state.h"
#include "routing/route_selection.h"
#include "routing/service_time.h"
#include "routing/slow_start.h"

namespace walkpaddle::routing {

/// The end of an attempt, as the host reports it.
struct AttemptReport {
  AttemptOutcome outcome = AttemptOutcome::not_sent;  ///< how the attempt ended
  FillOutcome fill = FillOutcome::none;               ///< what its answer reports of the fill
  Seconds took = 0;                                   ///< time from its sending to its end
  Seconds waited = 0;   ///< part of `took` until the source's first byte or failure; 0: not reported
  Seconds sending = 0;  ///< time to send the answer at the client's rate; 0: not known
};

/// Updates estimates, limits and health from the attempts that end.
class OutcomeEvaluator {
 public:
  /// Parts of the policy that it uses; all must outlive it.
  struct Parts {
    const PolicyContext& context;  ///< settings and current time
    EndpointTable& endpoints;      ///< endpoints and their limits
    OutlierDetector& outliers;     ///< health of endpoints
    SlowStart& slow_start;         ///< cold endpoints
    ServiceTimes& service_times;   ///< latency and sending times
    FillEstimates& fills;          ///< limit of the link, miss ratios
    ReferenceCounters& counters;   ///< sizes and cached copies of objects
    std::mt19937& random;          ///< random phase of endpoints that start
  };
  /// Stores the references in `parts`.
  explicit OutcomeEvaluator(const Parts& parts) : parts_(parts) {}

  /// Evaluates an attempt that ended. Must be called once for each, after AttemptAccounting::end().
  void evaluate(RequestState& request, AttemptState& attempt, const AttemptReport& report);

 private:
  /// The end of an attempt and what is derived from it directly.
  struct Evidence {
    RequestState& request;
    AttemptState& attempt;
    const AttemptReport& report;
    const RequestClass& request_class;
    Endpoint& endpoint;
    bool has_source = false;  // the source is another endpoint
    bool hit = false;
    Seconds work = 0;
    double lateness = 0;  // 0: in time; 1: certainly late
    ConcurrencyLimit::Queueing queueing = ConcurrencyLimit::Queueing::possible;
  };
  Evidence evidence_of(RequestState& request, AttemptState& attempt, const AttemptReport& report);
  void estimate_lateness(Evidence& evidence) const;
  void record_alive(const Evidence& evidence);
  void record_served(Evidence& evidence);
  void record_recovery(const Evidence& evidence);
  void record_times(const Evidence& evidence);
  void estimate_size(const Evidence& evidence);
  void record_limits(const Evidence& evidence);
  void record_origin(const Evidence& evidence);
  void record_source(const Evidence& evidence);
  void record_copy(const Evidence& evidence);
  bool lightly_loaded(const Endpoint& endpoint) const;

  void record_failed(const Evidence& evidence);
  void reduce_origin(const Evidence& evidence);
  void record_source_failure(const Evidence& evidence);
  void record_missing_copy(const Evidence& evidence);
  void record_rejection(const Evidence& evidence);
  bool ended_at_deadline(const Evidence& evidence) const;
  void mark_unreachable(Endpoint& endpoint);
  void forget_copy(const RequestState& request, int cache);

  Parts parts_;
};

}  // namespace walkpaddle::routing
