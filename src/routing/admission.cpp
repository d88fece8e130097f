#include "routing/admission.h"

#include <algorithm>
#include <cstddef>

namespace walkpaddle::routing {

Seconds retry_after(const ClientSettings& clients) {
  constexpr Seconds kMaxRetryAfter = 0.25;
  return std::min(clients.max_retry_after, kMaxRetryAfter);
}

Seconds capacity_deadline(const RequestState& request, const RequestClass& request_class,
                          const ServiceTimes& service_times) {
  constexpr Seconds kMinWait = 0.05;
  const Seconds objective = request_class.latency_objective;
  const Seconds spare = objective + request_class.latency_objective_stretch * service_times.work(request) -
                        service_times.expected_latency(request);
  return std::min(request.received_at + std::clamp(spare / 2, kMinWait, objective),
                  request.expires - 2 * kMinAttemptDuration);
}

void AdmissionQueue::request_decision(int index) {
  auto& request = requests_[static_cast<std::size_t>(index)];
  if (!request.open || request.awaits_decision) return;
  request.awaits_decision = true;
  ready_.push_back(index);
}

void AdmissionQueue::request_decision_after(int index, Seconds pause) {
  constexpr Seconds kExpiryMargin = 0.01;
  const auto& request = requests_[static_cast<std::size_t>(index)];
  wake_by(index, std::min(context_.now + pause, request.expires - kExpiryMargin));
}

void AdmissionQueue::wait_for_capacity(int index, Seconds deadline) {
  waiting_for_capacity_.push_back(index);
  wake_by(index, deadline);
}

// A request is decided anew each time the host asks, and each time its deadline may differ; one entry for it
// is enough.
void AdmissionQueue::wake_by(int index, Seconds time) {
  auto& request = requests_[static_cast<std::size_t>(index)];
  if (time >= request.wake_at) return;
  cancel_wake_up(index);
  request.wake_at = time;
  due_.insert({time, index});
}

void AdmissionQueue::cancel_wake_up(int index) {
  auto& request = requests_[static_cast<std::size_t>(index)];
  if (request.wake_at < kNever) due_.erase({request.wake_at, index});
  request.wake_at = kNever;
}

void AdmissionQueue::wake_due() {
  while (!due_.empty() && due_.begin()->first <= context_.now) {
    const int index = due_.begin()->second;
    cancel_wake_up(index);
    request_decision(index);
  }
}

std::vector<int> AdmissionQueue::take_ready() {
  constexpr Seconds kMinWork = 0.001;
  for (const int index : waiting_for_capacity_) request_decision(index);
  waiting_for_capacity_.clear();
  const auto rank = [&](int index) {
    const auto& request = requests_[static_cast<std::size_t>(index)];
    const auto& request_class = context_.classes[static_cast<std::size_t>(request.request_class)];
    const double priority = request_class.priority / std::max(kMinWork, service_times_.work(request));
    return std::pair(-priority, -request.received_at);
  };
  std::stable_sort(ready_.begin(), ready_.end(), [&](int a, int b) { return rank(a) < rank(b); });
  return std::exchange(ready_, {});
}

}  // namespace walkpaddle::routing
