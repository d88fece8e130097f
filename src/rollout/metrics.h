/// \file
/// The metrics that a router collects for the canary analysis. Counts are cumulative since the start of their
/// epoch, which is the time that one process runs one generation. A newer copy replaces an older one and is
/// never added to it, so nothing is counted twice if a copy is duplicated or resent. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace walkpaddle::rollout {

/// The cumulative counts of one router in one epoch.
struct RolloutMetrics {
  /// The number of buckets of the latency histogram. Their upper bounds are 1 ms, 2 ms, 4 ms and so on to
  /// 4.096 s; the last bucket has none.
  static constexpr std::size_t kLatencyBuckets = 14;

  std::uint64_t epoch = 0;                               ///< greater for a later epoch; 0: none
  std::uint64_t requests = 0;                            ///< requests that ended
  std::uint64_t rejected = 0;                            ///< requests shed before they ran
  std::uint64_t failed = 0;                              ///< requests given up
  std::uint64_t late = 0;                                ///< requests served past their latency objective
  std::uint64_t attempts = 0;                            ///< attempts of these requests
  std::uint64_t fills = 0;                               ///< attempts that the cache server had to fetch for
  std::uint64_t rejected_attempts = 0;                   ///< attempts that a cache server had no capacity for
  std::uint64_t invariant_violations = 0;                ///< violations that the router itself detected
  std::array<std::uint32_t, kLatencyBuckets> latency{};  ///< requests served, by latency_bucket()
  double memory_mb = 0;                                  ///< resident memory, as last measured
  Seconds cpu_time = 0;                                  ///< processor time since the warm-up ended
  /// Compares all members.
  bool operator==(const RolloutMetrics&) const = default;

  /// The index of the histogram's bucket for a latency.
  static std::size_t latency_bucket(Seconds latency);
  /// The increase since `earlier`, or all counts if `earlier` is of another epoch or has more requests.
  RolloutMetrics since(const RolloutMetrics& earlier) const;
  /// Adds the counts and the histogram of another router, but not its epoch, memory and processor time.
  void add_counts(const RolloutMetrics& other);
};

/// How a request ended, as the metrics count it.
enum class RequestOutcome : std::uint8_t { served, rejected, failed };

/// Collects the metrics of a router for the host. Nothing is counted during the warm-up after a start or a
/// move, except for invariant violations.
class MetricsCollector {
 public:
  /// The result of an attempt, as far as the metrics need it.
  struct AttemptResult {
    bool filled = false;    ///< whether the cache server had to fetch the object
    bool rejected = false;  ///< whether the cache server had no capacity
  };

  /// Starts a new epoch. `epoch` must be greater than that of any earlier one: Unix time in microseconds
  /// will do. Requests and attempts that end before `count_from` are not counted.
  void begin(std::uint64_t epoch, Seconds count_from);
  /// Counts a request that ended after `latency` and `attempts` attempts.
  void request_ended(RequestOutcome outcome, Seconds latency, Seconds latency_objective, int attempts,
                     Seconds now);
  /// Counts an attempt that ended.
  void attempt_ended(AttemptResult result, Seconds now);
  /// Counts a violated invariant, also during the warm-up.
  void invariant_violated();
  /// Sets the process's resident memory, and its processor time since its start.
  void load_measured(double memory_mb, Seconds cpu_time, Seconds now);
  /// The metrics since begin().
  const RolloutMetrics& metrics() const { return metrics_; }

 private:
  RolloutMetrics metrics_;
  Seconds count_from_ = 0;
  Seconds cpu_time_before_ = 0;  // the process's processor time at the end of the warm-up
};

}  // namespace walkpaddle::rollout
