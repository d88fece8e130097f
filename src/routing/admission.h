/// \file
/// Requests that wait: for their turn to be decided, for capacity, or for a time. And when load is shed.
#pragma once

#include <set>
#include <utility>
#include <vector>

#include "routing/context.h"
#include "routing/request_state.h"
#include "routing/service_time.h"

namespace walkpaddle::routing {

/// No attempt ends well in less.
constexpr Seconds kMinAttemptDuration = 0.015;

/// How long the client of a shed request is told to wait (Retry-After), in seconds; 0: it is told nothing.
Seconds retry_after(const ClientSettings& clients);
/// Until when a request may wait for capacity: later it would end too late to be worth it.
Seconds capacity_deadline(const RequestState& request, const RequestClass& request_class,
                          const ServiceTimes& service_times);

/// The requests that wait. Bounded by the number of open requests.
class AdmissionQueue {
 public:
  /// All of them must outlive it.
  AdmissionQueue(const PolicyContext& context, std::vector<RequestState>& requests,
                 const ServiceTimes& service_times)
      : context_(context), requests_(requests), service_times_(service_times) {}

  /// The request is to be decided in this turn.
  void request_decision(int index);
  /// ... once so much time has passed, but before it expires.
  void request_decision_after(int index, Seconds pause);
  /// ... whenever capacity may have come free, and at `deadline` at the latest.
  void wait_for_capacity(int index, Seconds deadline);

  /// Requests whose time has come are to be decided.
  void wake_due();
  /// All that are to be decided now, those that wait for capacity included: first by priority for the work
  /// they ask, then by age.
  std::vector<int> take_ready();
  /// When wake_due() is to be called next; kNever if nothing waits for a time.
  Seconds next_due() const { return due_.empty() ? kNever : due_.begin()->first; }

 private:
  const PolicyContext& context_;
  std::vector<RequestState>& requests_;
  const ServiceTimes& service_times_;
  std::set<std::pair<Seconds, int>> due_;
  std::vector<int> waiting_for_capacity_;
  std::vector<int> ready_;
};

}  // namespace walkpaddle::routing
