/// \file
/// The queue of requests that wait for a decision, for capacity or for a point in time, and the times at
/// which load is shed.
#pragma once

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

#include "routing/context.h"
#include "routing/request_state.h"
#include "routing/service_time.h"

namespace walkpaddle::routing {

/// Shortest time in which an attempt can be served.
constexpr Seconds kMinAttemptDuration = 0.015;

/// Retry-After for the client of a rejected request, in seconds; 0: none is sent.
Seconds retry_after(const ClientSettings& clients);
/// Time until which a request may wait for capacity; an attempt that started later would end too late to be
/// of use.
Seconds capacity_deadline(const RequestState& request, const RequestClass& request_class,
                          const ServiceTimes& service_times);

/// The requests that wait. Its size is bounded by the number of open requests.
class AdmissionQueue {
 public:
  /// All arguments must outlive the queue.
  AdmissionQueue(const PolicyContext& context, std::vector<RequestState>& requests,
                 const ServiceTimes& service_times)
      : context_(context), requests_(requests), service_times_(service_times) {}

  /// Queues a request for a decision in the current turn.
  void request_decision(int index);
  /// Queues a request for a decision after a pause, at the latest shortly before it expires.
  void request_decision_after(int index, Seconds pause);
  /// Queues a request that found no capacity: it is decided again in the next turn, and at `deadline`.
  void wait_for_capacity(int index, Seconds deadline);

  /// Drops the time at which a request is to be queued, because its index is used for another request.
  void cancel_wake_up(int index);

  /// Queues the requests whose time has come.
  void wake_due();
  /// Takes the requests to be decided now, including those that wait for capacity: highest priority per unit
  /// of work first, ties with the latest received first.
  std::vector<int> take_ready();
  /// Time at which wake_due() must be called next; kNever if no request waits for a time.
  Seconds next_due() const { return due_.empty() ? kNever : due_.begin()->first; }
  /// Number of requests that wait for a time.
  std::size_t due_count() const { return due_.size(); }

 private:
  void wake_by(int index, Seconds time);

  const PolicyContext& context_;
  std::vector<RequestState>& requests_;
  const ServiceTimes& service_times_;
  std::set<std::pair<Seconds, int>> due_;  // RequestState::wake_at of each request that has one
  std::vector<int> waiting_for_capacity_;
  std::vector<int> ready_;
};

}  // namespace walkpaddle::routing
