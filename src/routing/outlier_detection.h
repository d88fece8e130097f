/// \file
/// Ejection of endpoints that are unreachable, failing or silent. An ejection lasts longer each time; after
/// it the endpoint is half-open and receives one attempt at a time until several were served (circuit
/// breaker; Nygard, 2007). Detection goes by symptoms, whatever the cause. An endpoint that is merely slow
/// may be ejected by mistake; it is tried again when the ejection ends.
#pragma once

#include "routing/context.h"
#include "routing/endpoint_table.h"
#include "routing/request_state.h"

namespace walkpaddle::routing {

/// Tracks the health of endpoints and ejects them.
class OutlierDetector {
 public:
  /// Weight of a failure.
  enum class Severity {
    soft,  ///< adds to the failure rate
    hard   ///< ejects the endpoint at once
  };

  /// `context` and `endpoints` must outlive it.
  OutlierDetector(const PolicyContext& context, EndpointTable& endpoints)
      : context_(context), endpoints_(endpoints) {}

  /// Whether an attempt can be sent there: listed, ready, not ejected, and no half-open trial in flight.
  bool usable(const Endpoint& endpoint) const;
  /// Whether the endpoint is ejected at this time.
  bool ejected(const Endpoint& endpoint) const { return context_.now < endpoint.ejected_until; }

  /// Records that an attempt at the endpoint, or a fill from it, failed.
  void record_failure(int index, Severity severity);
  /// Records that an attempt at the endpoint, or a fill from it, was served.
  void record_success(int index);
  /// Records an answer of any kind from the endpoint.
  void record_answer(int index);
  /// Ejects an endpoint that has attempts in flight but is silent; see silent_endpoint().
  void eject_silent(int index);
  /// The index of the attempt's endpoint, or else of its source, if it has not answered for several times its
  /// mean answer interval; -1 if both have.
  int silent_endpoint(const AttemptState& attempt) const;
  /// Clears the failures of an endpoint that started anew; they say nothing about the new process.
  static void forget_failures(Endpoint& endpoint);

  /// Number of ejections since the start of the policy.
  const Ejections& ejections() const { return ejections_; }

 private:
  bool silent(const Endpoint& endpoint, Seconds sent_at) const;
  void eject(Endpoint& endpoint);

  const PolicyContext& context_;
  EndpointTable& endpoints_;
  Ejections ejections_;
};

}  // namespace walkpaddle::routing
