/// \file
/// What the end of an attempt says of its endpoint, its source, the origin behind and the link: their health,
/// their limits, how long answers take, who holds a copy.
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

/// How an attempt ended, as the host tells it.
struct AttemptReport {
  AttemptOutcome outcome = AttemptOutcome::not_sent;  ///< how it ended
  FillOutcome fill = FillOutcome::none;               ///< what its answer says of the fill
  Seconds took = 0;                                   ///< from its sending to its end
  Seconds waited = 0;   ///< of that, for the source's first byte or its failure; 0: not told
  Seconds sending = 0;  ///< the answer's own time at a client's rate; 0: not known
};

/// Learns from the ends of attempts.
class OutcomeEvaluator {
 public:
  /// All of them must outlive it.
  struct Parts {
    const PolicyContext& context;  ///< settings and time
    EndpointTable& endpoints;      ///< whose limits learn
    OutlierDetector& outliers;     ///< health of endpoints
    SlowStart& slow_start;         ///< cold endpoints
    ServiceTimes& service_times;   ///< how long answers take
    FillEstimates& fills;          ///< the link, and how many attempts miss
    ReferenceCounters& counters;   ///< sizes and copies
    std::mt19937& random;          ///< phases of endpoints that start
  };
  /// Keeps the references.
  explicit OutcomeEvaluator(const Parts& parts) : parts_(parts) {}

  /// Once for each attempt, after AttemptAccounting::end().
  void evaluate(RequestState& request, AttemptState& attempt, const AttemptReport& report);

 private:
  /// One attempt's end, with what follows from it at once.
  struct Evidence {
    RequestState& request;
    AttemptState& attempt;
    const AttemptReport& report;
    const RequestClass& request_class;
    Endpoint& endpoint;
    bool has_source = false;  // another than the endpoint
    bool hit = false;
    Seconds work = 0;
    double lateness = 0;  // 0 in time, up to 1 surely late
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
