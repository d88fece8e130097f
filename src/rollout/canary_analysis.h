/// \file
/// Whether routers of the new generation are worse than those of the old over the same seconds, as a test
/// that may be read at any time (always-valid inference: Johari, Pekelis, Walsh, 2017; Howard et al., 2021).
/// No I/O.
///
/// Of each count of bad ends (Measure) the total of an interval is taken as given, and the canary's part of
/// it compared with its part of what was to be expected. Under no change that part is binomial whatever the
/// total does, so a trouble that hits both sides alike moves nothing. Expected is a router's traffic in the
/// interval times its own rate from before the rollout (shrunk to the fleet's), so one that sees several
/// times the mean, or has always been worse, counts as what it is. Compared are routers of one site only. The
/// likelihood ratio against "so many times as much", mixed over how many, is a martingale under no change: by
/// Ville's inequality it ever exceeds 1/alpha with a chance of alpha at most, at whatever times it is read.
/// Counts that come in bunches would break that: the spread among the control is measured, and the ratio
/// tempered by it.
///
/// Left out, with why: comparing with old routers restarted for the purpose (twice the restarts, and the
/// fleet's load moves); a warm-up that the counts leave out is taken instead. A t-test read again and again
/// (false stops grow with each reading).
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/metrics.h"

namespace walkpaddle::rollout {

/// What the analysis says so far; a later one is the graver.
enum class CanaryVerdict : std::uint8_t {
  healthy,
  inconclusive,  ///< the rollout does not go on, and does not stop
  worse,
};

/// The two sides that are compared: routers of the old generation, and those of the new.
enum class Cohort : std::uint8_t { control, canary };

/// One value for each cohort.
template <class T>
struct PerCohort {
  T control{};  ///< of the old generation
  T canary{};   ///< of the new generation
  /// The value of `cohort`.
  T& operator[](Cohort cohort) { return cohort == Cohort::control ? control : canary; }
  /// The value of `cohort`.
  const T& operator[](Cohort cohort) const { return cohort == Cohort::control ? control : canary; }
};

/// The counts of bad ends that are compared.
enum class Measure : std::uint8_t { rejected, failed, late, slow, retries, fills };
/// How many measures there are.
constexpr std::size_t kMeasures = 6;
/// The measure's name in the reason of a stop.
std::string_view to_string(Measure measure);

/// The analysis of one rollout, from its baseline to its end.
class CanaryAnalysis {
 public:
  /// When the canary counts as worse.
  struct Limits {
    /// Chance of a false stop in a rollout that changes nothing, over all measures: one in two hundred.
    double false_stop_chance = 0.005;
    double tolerated_ratio = 1.2;   ///< up to so many times as much is no harm
    double harm_threshold = 0.005;  ///< share of the canary's requests that has to be worse off
    /// Times the control's memory, and kMemoryMarginMb more, for three intervals: an allocator's own swings
    /// are less.
    double memory_ratio = 1.5;
    double cpu_ratio = 1.5;  ///< times the control's processor time a request
    /// Likelihood ratio from which the verdict is inconclusive: one in ten looks like this by chance.
    double inconclusive_from = 10;
  };
  /// What one router counted over an interval.
  struct Sample {
    std::uint64_t router = 0;         ///< stable hash of its name
    std::size_t site = 0;             ///< routers of one number are compared
    Cohort cohort = Cohort::control;  ///< by the generation that it runs
    RolloutMetrics delta;             ///< over the interval
  };

  /// Nothing is concluded before the first interval.
  explicit CanaryAnalysis(const Limits& limits) : limits_(limits) {}

  /// What a router counted in the old generation before the rollout: taken once for each router, before its
  /// first interval.
  void add_baseline(std::uint64_t router, const RolloutMetrics& metrics);
  /// Takes the samples of an interval and concludes.
  void add_interval(const std::vector<Sample>& samples);
  /// What follows from all intervals so far; `worse` is never taken back.
  CanaryVerdict verdict() const { return verdict_; }
  /// Of worse and inconclusive: one sentence.
  const std::string& reason() const { return reason_; }
  /// Requests of the cohort since begin_stage().
  std::uint64_t requests(Cohort cohort) const { return stage_requests_[cohort]; }
  /// Requests are counted from 0 again; what was concluded stays.
  void begin_stage() { stage_requests_ = {}; }

 private:
  static constexpr std::size_t kAlternatives = 6;

  struct Evidence {
    std::array<double, kAlternatives> log_likelihood_ratio{};
    double observed = 0;    // of the canary
    double expected = 0;    // of the canary
    double dispersion = 0;  // Pearson's statistic of the control
    double dispersion_terms = 0;
  };
  using SiteSamples = std::vector<const Sample*>;

  double rate(std::uint64_t router, Measure measure) const;
  void update_slow_bucket();
  void compare(Measure measure, const SiteSamples& site);
  void add_dispersion(Evidence& evidence, Measure measure, const SiteSamples& site, double bad,
                      double expected) const;
  void add_resource_usage(const std::vector<Sample>& samples);
  void conclude();
  void conclude_measure(Measure measure);
  void conclude_resource_usage();
  void raise(CanaryVerdict verdict, const std::string& reason);

  Limits limits_;
  std::map<std::uint64_t, RolloutMetrics> baselines_;  // by router
  RolloutMetrics fleet_baseline_;
  std::array<double, kMeasures> fleet_rate_{};
  std::size_t first_slow_bucket_ = RolloutMetrics::kLatencyBuckets;  // the first bucket that counts as slow
  std::array<Evidence, kMeasures> evidence_{};
  PerCohort<std::uint64_t> stage_requests_;
  std::uint64_t canary_requests_ = 0;
  std::uint64_t canary_violations_ = 0;
  PerCohort<Seconds> cpu_time_;
  PerCohort<double> cpu_requests_;
  int high_memory_intervals_ = 0;  // in a row, with too much memory
  CanaryVerdict verdict_ = CanaryVerdict::healthy;
  std::string reason_;
};

}  // namespace walkpaddle::rollout
