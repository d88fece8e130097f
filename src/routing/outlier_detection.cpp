#include "routing/outlier_detection.h"

#include <algorithm>

namespace walkpaddle::routing {

namespace {

constexpr double kFailureGain = 0.1;     // averages the failure rate over about ten attempts
constexpr double kMaxFailureRate = 0.3;  // above this rate a soft failure ejects

}  // namespace

bool OutlierDetector::usable(const Endpoint& endpoint) const {
  return endpoint.listed && endpoint.ready && !ejected(endpoint) &&
         (endpoint.trials_left == 0 || endpoint.in_flight == 0);
}

void OutlierDetector::eject(Endpoint& endpoint) {
  constexpr Seconds kMinEjection = 0.5;  // about as long as a client waits for one attempt
  constexpr Seconds kMaxEjection = 4;    // about the duration of a restart
  constexpr int kTrials = 3;
  endpoint.ejection_time = std::clamp(endpoint.ejection_time * 2, kMinEjection, kMaxEjection);
  endpoint.ejected_until = context_.now + endpoint.ejection_time;
  endpoint.trials_left = kTrials;
}

void OutlierDetector::record_failure(int index, Severity severity) {
  auto& endpoint = endpoints_[index];
  endpoint.failure_rate += (1 - endpoint.failure_rate) * kFailureGain;
  const bool hard = severity == Severity::hard;
  const bool too_many = endpoint.failure_rate > kMaxFailureRate || endpoint.trials_left > 0;
  if ((!hard && !too_many) || ejected(endpoint)) return;
  ++(hard ? ejections_.unreachable : ejections_.failing);
  eject(endpoint);
}

void OutlierDetector::record_success(int index) {
  auto& endpoint = endpoints_[index];
  endpoint.failure_rate *= 1 - kFailureGain;
  if (endpoint.trials_left == 0 || ejected(endpoint)) return;
  --endpoint.trials_left;
  if (endpoint.trials_left == 0) endpoint.ejection_time = 0;
}

void OutlierDetector::record_answer(int index) {
  constexpr Seconds kMaxInterval = 1;
  constexpr double kGain = 0.1;
  auto& endpoint = endpoints_[index];
  if (endpoint.last_answer_at > 0) {
    const Seconds waiting_since = std::max(endpoint.last_answer_at, endpoint.busy_since);
    endpoint.mean_answer_interval +=
        (std::min(kMaxInterval, context_.now - waiting_since) - endpoint.mean_answer_interval) * kGain;
  }
  endpoint.last_answer_at = context_.now;
}

bool OutlierDetector::silent(const Endpoint& endpoint, Seconds sent_at) const {
  constexpr double kIntervals = 8;
  constexpr Seconds kMinSilence = 0.6;
  constexpr Seconds kMaxSilence = 5;
  const Seconds since = std::max({endpoint.last_answer_at, endpoint.busy_since, sent_at});
  return context_.now - since >
         std::clamp(kIntervals * endpoint.mean_answer_interval, kMinSilence, kMaxSilence);
}

int OutlierDetector::silent_endpoint(const AttemptState& attempt) const {
  if (silent(endpoints_[attempt.endpoint], attempt.waiting_since())) return attempt.endpoint;
  if (attempt.may_fill && silent(endpoints_[attempt.source], attempt.waiting_since())) return attempt.source;
  return -1;
}

void OutlierDetector::eject_silent(int index) {
  auto& endpoint = endpoints_[index];
  if (ejected(endpoint)) return;
  ++ejections_.silent;
  eject(endpoint);
}

void OutlierDetector::forget_failures(Endpoint& endpoint) {
  endpoint.failure_rate = 0;
  endpoint.ejection_time = 0;
  endpoint.trials_left = 0;
  endpoint.ejected_until = kLongAgo;
}

}  // namespace walkpaddle::routing
