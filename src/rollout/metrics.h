/// \file
/// What a router counts of its own work for the canary analysis. The counts are cumulative since their epoch
/// began, which is one process in one generation: a copy replaces an earlier one and is never added to it, so
/// nothing is summed twice however often and by whatever way it comes. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace walkpaddle::rollout {

/// Cumulative counts of one router in one epoch.
struct RolloutMetrics {
  /// Buckets of the latency histogram, each twice as wide as the one before: up to 1 ms, 2 ms, ... 4 s,
  /// longer.
  static constexpr std::size_t kLatencyBuckets = 14;

  std::uint64_t epoch = 0;                               ///< 0: none; of two epochs the later is greater
  std::uint64_t requests = 0;                            ///< that ended
  std::uint64_t rejected = 0;                            ///< requests shed before they ran
  std::uint64_t failed = 0;                              ///< requests given up
  std::uint64_t late = 0;                                ///< requests served past their latency objective
  std::uint64_t attempts = 0;                            ///< of all requests
  std::uint64_t fills = 0;                               ///< attempts that the cache server had to fetch for
  std::uint64_t rejected_attempts = 0;                   ///< attempts that a cache server had no capacity for
  std::uint64_t invariant_violations = 0;                ///< as far as a router sees its own
  std::array<std::uint32_t, kLatencyBuckets> latency{};  ///< requests served, by latency_bucket()
  double memory_mb = 0;                                  ///< resident, as last measured
  Seconds cpu_time = 0;                                  ///< of the processor, since the epoch began
  /// Count by count.
  bool operator==(const RolloutMetrics&) const = default;

  /// The bucket of the histogram for an answer that took so long.
  static std::size_t latency_bucket(Seconds latency);
  /// What came since `earlier`; all of it where that is of another epoch.
  RolloutMetrics since(const RolloutMetrics& earlier) const;
  /// Adds the counts and the histogram of another router; its epoch, memory and processor time are left out.
  void add_counts(const RolloutMetrics& other);
};

/// How a request ended.
enum class RequestOutcome : std::uint8_t { served, rejected, failed };

/// Counts for the host; quiet for the warm-up after a start or a move.
class MetricsCollector {
 public:
  /// What the metrics need of an attempt that ended.
  struct AttemptResult {
    bool filled = false;    ///< the cache server fetched the object
    bool rejected = false;  ///< the cache server had no capacity
  };

  /// Begins anew. `epoch`: Unix time in microseconds does; what ends before `count_from` is not counted.
  void begin(std::uint64_t epoch, Seconds count_from);
  /// A request ended after `latency` and `attempts` attempts.
  void request_ended(RequestOutcome outcome, Seconds latency, Seconds latency_objective, int attempts,
                     Seconds now);
  /// An attempt ended.
  void attempt_ended(AttemptResult result, Seconds now);
  /// An invariant was violated; counts in the warm-up too.
  void invariant_violated();
  /// The process's resident memory, and its processor time since its start.
  void load_measured(double memory_mb, Seconds cpu_time, Seconds now);
  /// What was counted since begin().
  const RolloutMetrics& metrics() const { return metrics_; }

 private:
  RolloutMetrics metrics_;
  Seconds count_from_ = 0;
  Seconds cpu_time_before_ = 0;  // of the process, when the warm-up ended
};

}  // namespace walkpaddle::rollout
