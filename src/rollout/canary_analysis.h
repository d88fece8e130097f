/// \file
/// The canary analysis: decides whether routers of the new generation perform worse than routers of the old
/// generation over the same intervals. The test may be evaluated at any time (always-valid inference: Johari,
/// Pekelis, Walsh, 2017; Howard et al., 2021). No I/O.
///
/// For each count of adverse events (Measure) the total of an interval is taken as given, and the canary's
/// share of it is compared with the share that its traffic predicts. If the generations do not differ, that
/// share is binomial whatever the total is, so a fault that affects both sides alike has no effect on the
/// result. The expected count of a router is its traffic in the interval times its own rate before the
/// rollout, shrunk towards the fleet's rate. So a router with several times the mean traffic, or one that
/// always performed worse, does not distort the result. Only routers of the same site are compared.
///
/// The likelihood ratio against "so many times as many events", averaged over several such factors, is a
/// martingale if the generations do not differ. By Ville's inequality it exceeds 1/alpha at any time with a
/// probability of at most alpha, however often it is read. Events that come in bursts would violate this
/// bound, so the overdispersion among the control routers is measured and the log-likelihood ratios are
/// divided by it.
///
/// Alternatives that were rejected: restarting some old routers to compare with (it doubles the restarts and
/// shifts the fleet's load; the counts of the warm-up are left out instead), and a repeated t-test (its rate
/// of false stops grows with each evaluation).
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rollout/metrics.h"

namespace walkpaddle::rollout {

/// The result of the analysis so far, in order of severity.
enum class CanaryVerdict : std::uint8_t {
  healthy,
  inconclusive,  ///< the rollout neither enters its next stage nor stops
  worse,
};

/// The two sides that are compared: routers of the old generation (control) and of the new one (canary).
enum class Cohort : std::uint8_t { control, canary };

/// One value for each cohort.
template <class T>
struct PerCohort {
  T control{};  ///< the value of the old generation
  T canary{};   ///< the value of the new generation
  /// The value of `cohort`.
  T& operator[](Cohort cohort) { return cohort == Cohort::control ? control : canary; }
  /// The value of `cohort`.
  const T& operator[](Cohort cohort) const { return cohort == Cohort::control ? control : canary; }
};

/// The counts of adverse events that are compared.
enum class Measure : std::uint8_t { rejected, failed, late, slow, retries, fills };
/// The number of measures.
constexpr std::size_t kMeasures = 6;
/// The measure's name, as the reason for a stop gives it.
std::string_view to_string(Measure measure);

/// The analysis of one rollout, from the baseline to the last stage.
class CanaryAnalysis {
 public:
  /// Thresholds from which the canary counts as worse.
  struct Limits {
    /// Probability of a false stop by any measure in a rollout that changes nothing.
    double false_stop_chance = 0.005;
    double tolerated_ratio = 1.2;  ///< ratio of canary events to expected events that is tolerated
    /// Excess events per canary request below which nothing is concluded; ten times that for slow answers,
    /// retries and fills.
    double harm_threshold = 0.005;
    /// Ratio of the canary's mean memory to the control's that counts as high. It must also exceed the
    /// control's by kMemoryMarginMb, in kHighMemoryIntervals intervals in a row: an allocator's normal
    /// fluctuation is smaller.
    double memory_ratio = 1.5;
    double cpu_ratio = 1.5;  ///< ratio of the processor time per request that counts as worse
    /// Likelihood ratio above which the verdict is inconclusive. If nothing changed, a measure exceeds it
    /// with a probability of at most 1/10.
    double inconclusive_from = 10;
  };
  /// The counts of one router over an interval.
  struct Sample {
    std::uint64_t router = 0;         ///< stable hash of its name
    std::size_t site = 0;             ///< site number; only routers of the same site are compared
    Cohort cohort = Cohort::control;  ///< given by the generation that the router runs
    RolloutMetrics delta;             ///< increase of the counts in the interval
  };

  /// The verdict is `healthy` until the first interval.
  explicit CanaryAnalysis(const Limits& limits) : limits_(limits) {}

  /// Adds a router's counts in the old generation from before the rollout. To be called before the router's
  /// first interval; only the first call for a router has an effect.
  void add_baseline(std::uint64_t router, const RolloutMetrics& metrics);
  /// Adds the samples of an interval and updates the verdict.
  void add_interval(const std::vector<Sample>& samples);
  /// The verdict from all intervals so far; once it is `worse` it stays so.
  CanaryVerdict verdict() const { return verdict_; }
  /// The reason for `worse` or `inconclusive`, in one sentence; empty for `healthy`.
  const std::string& reason() const { return reason_; }
  /// The number of requests of the cohort since begin_stage().
  std::uint64_t requests(Cohort cohort) const { return stage_requests_[cohort]; }
  /// Resets the request counts of the stage. The verdict and the evidence stay.
  void begin_stage() { stage_requests_ = {}; }

 private:
  static constexpr std::size_t kAlternatives = 6;

  struct Evidence {
    std::array<double, kAlternatives> log_likelihood_ratio{};
    double observed = 0;    // events of the canary
    double expected = 0;    // events of the canary that the control's events and the baselines predict
    double dispersion = 0;  // Pearson's chi-squared statistic of the control
    double dispersion_terms = 0;
  };
  using SiteSamples = std::vector<const Sample*>;

  double rate(std::uint64_t router, Measure measure) const;
  void update_slow_bucket();
  void compare(Measure measure, const SiteSamples& site);
  void add_dispersion(Evidence& evidence, Measure measure, const SiteSamples& site, double events,
                      double expected) const;
  void add_resource_usage(const std::vector<Sample>& samples);
  void conclude();
  void conclude_measure(Measure measure);
  void conclude_resource_usage();
  void raise(CanaryVerdict verdict, const std::string& reason);

  Limits limits_;
  std::map<std::uint64_t, RolloutMetrics> baselines_;  // by router
  RolloutMetrics fleet_baseline_;
  std::array<double, kMeasures> fleet_rate_{};                       // events per request, by measure
  std::size_t first_slow_bucket_ = RolloutMetrics::kLatencyBuckets;  // the first bucket that counts as slow
  std::array<Evidence, kMeasures> evidence_{};
  PerCohort<std::uint64_t> stage_requests_;
  std::uint64_t canary_requests_ = 0;
  std::uint64_t canary_violations_ = 0;
  PerCohort<Seconds> cpu_time_;
  PerCohort<double> cpu_requests_;
  int high_memory_intervals_ = 0;  // consecutive intervals in which the canary's memory was high
  CanaryVerdict verdict_ = CanaryVerdict::healthy;
  std::string reason_;
};

}  // namespace walkpaddle::rollout
