/// \file
/// Health of endpoints by symptom: unreachable, failing, silent. One that shows it is ejected for a while,
/// longer each time, and then half-open: it is tried by one attempt at a time until several were served
/// (circuit breaker; Nygard, 2007). Prevents attempts at endpoints that are dead, cut off, frozen or failing,
/// whatever the cause. Could harm where one is only slow: then it is tried again after the ejection.
#pragma once

#include "routing/context.h"
#include "routing/endpoint_table.h"
#include "routing/request_state.h"

namespace walkpaddle::routing {

/// Decides which endpoints are ejected.
class OutlierDetector {
 public:
  /// What a failure proves.
  enum class Severity {
    soft,  ///< counts towards a rate of failures
    hard   ///< the endpoint is ejected at once
  };

  /// `context` and `endpoints` must outlive it.
  OutlierDetector(const PolicyContext& context, EndpointTable& endpoints)
      : context_(context), endpoints_(endpoints) {}

  /// Whether an attempt may go there: listed, ready, not ejected, and no trial under way.
  bool usable(const Endpoint& endpoint) const;
  /// No attempt goes there now.
  bool ejected(const Endpoint& endpoint) const { return context_.now < endpoint.ejected_until; }

  /// An attempt at it, or a fill from it, failed.
  void record_failure(int index, Severity severity);
  /// An attempt at it, or a fill from it, was served.
  void record_success(int index);
  /// Anything came from it.
  void record_answer(int index);
  /// It takes attempts in flight and has not answered for many times its usual gap.
  void eject_silent(int index);
  /// Nothing was heard of the attempt's endpoint, or else its source, for so long: its index, -1 if all is
  /// well.
  int silent_endpoint(const AttemptState& attempt) const;
  /// A new start of an endpoint: what failed before is no sign of it.
  static void forget_failures(Endpoint& endpoint);

  /// Since the start.
  const Ejections& ejections() const { return ejections_; }

 private:
  bool silent(const Endpoint& endpoint, Seconds sent_at) const;
  void eject(Endpoint& endpoint);

  const PolicyContext& context_;
  EndpointTable& endpoints_;
  Ejections ejections_;
};

}  // namespace walkpaddle::routing
