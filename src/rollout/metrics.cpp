#include "rollout/metrics.h"

#include <algorithm>
#include <cmath>

namespace walkpaddle::rollout {

namespace {

constexpr Seconds kFirstBucket = 0.001;

constexpr std::array kCounts{&RolloutMetrics::requests,
                             &RolloutMetrics::rejected,
                             &RolloutMetrics::failed,
                             &RolloutMetrics::late,
                             &RolloutMetrics::attempts,
                             &RolloutMetrics::fills,
                             &RolloutMetrics::rejected_attempts,
                             &RolloutMetrics::invariant_violations};

}  // namespace

std::size_t RolloutMetrics::latency_bucket(Seconds latency) {
  if (latency <= kFirstBucket) return 0;
  const auto bucket = static_cast<int>(std::ceil(std::log2(latency / kFirstBucket)));
  return std::min(static_cast<std::size_t>(bucket), kLatencyBuckets - 1);
}

RolloutMetrics RolloutMetrics::since(const RolloutMetrics& earlier) const {
  RolloutMetrics delta = *this;
  if (earlier.epoch != epoch || earlier.requests > requests) return delta;
  for (const auto count : kCounts) delta.*count -= earlier.*count;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket)
    delta.latency[bucket] -= earlier.latency[bucket];
  delta.cpu_time -= earlier.cpu_time;
  return delta;
}

void RolloutMetrics::add_counts(const RolloutMetrics& other) {
  for (const auto count : kCounts) this->*count += other.*count;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) latency[bucket] += other.latency[bucket];
}

void MetricsCollector::begin(std::uint64_t epoch, Seconds count_from) {
  metrics_ = {.epoch = epoch};
  count_from_ = count_from;
}

void MetricsCollector::request_ended(RequestOutcome outcome, Seconds latency, Seconds latency_objective,
                                     int attempts, Seconds now) {
  if (now < count_from_) return;
  ++metrics_.requests;
  metrics_.attempts += static_cast<std::uint64_t>(attempts);
  switch (outcome) {
    case RequestOutcome::rejected:
      ++metrics_.rejected;
      return;
    case RequestOutcome::failed:
      ++metrics_.failed;
      return;
    case RequestOutcome::served:
      if (latency > latency_objective) ++metrics_.late;
      ++metrics_.latency[RolloutMetrics::latency_bucket(latency)];
      return;
  }
}

void MetricsCollector::attempt_ended(AttemptResult result, Seconds now) {
  if (now < count_from_) return;
  if (result.filled) ++metrics_.fills;
  if (result.rejected) ++metrics_.rejected_attempts;
}

void MetricsCollector::invariant_violated() { ++metrics_.invariant_violations; }

void MetricsCollector::load_measured(double memory_mb, Seconds cpu_time, Seconds now) {
  if (now < count_from_) cpu_time_before_ = cpu_time;
  metrics_.memory_mb = memory_mb;
  metrics_.cpu_time = cpu_time - cpu_time_before_;
}

}  // namespace walkpaddle::rollout
