#include "rollout/canary_analysis.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace walkpaddle::rollout {

namespace {

constexpr std::array kAllMeasures{Measure::rejected, Measure::failed,  Measure::late,
                                  Measure::slow,     Measure::retries, Measure::fills};
static_assert(kAllMeasures.size() == kMeasures);

/// Alternative hypotheses: ratios of the canary's events to the tolerated number. The small ratios detect
/// slight harm from much evidence, the large ones detect gross harm from a few events.
constexpr std::array<double, 6> kAlternativeRatios{1.15, 1.5, 2.5, 6, 20, 100};
/// Weight of the fleet's mean rate in a router's own rate, in events: prior events at the mean rate that are
/// added to the router's baseline.
constexpr double kShrinkageEvents = 20;
/// Lower bound of the fleet's rates, in events per request; it stands in where no event was seen.
constexpr double kMinRate = 1e-4;
/// Largest share of the baseline's answers that the buckets counted as slow may hold.
constexpr double kSlowShare = 0.1;
/// Lower bound of the expected events of a dispersion term. Without it a single event at a router that
/// expects a hundredth of an event would outweigh all other terms.
constexpr double kMinDispersionExpected = 0.2;
/// The number of dispersion terms (one for each control router and interval) from which the measured
/// dispersion is used.
constexpr double kMinDispersionTerms = 3;
constexpr double kMaxDispersion = 100;
constexpr double kMaxLogLikelihoodRatio = 50;
constexpr double kMemoryMarginMb = 16;
constexpr int kHighMemoryIntervals = 3;
/// Processor time that each cohort must exceed before the two are compared: shorter times are dominated by
/// the noise of the operating system's scheduler.
constexpr Seconds kMinCpuTime = 2;

std::size_t index_of(Measure measure) { return static_cast<std::size_t>(measure); }

double adverse_events(const RolloutMetrics& metrics, Measure measure, std::size_t first_slow_bucket) {
  switch (measure) {
    case Measure::rejected:
      return static_cast<double>(metrics.rejected);
    case Measure::failed:
      return static_cast<double>(metrics.failed);
    case Measure::late:
      return static_cast<double>(metrics.late);
    case Measure::slow: {
      double slow = 0;
      for (auto bucket = first_slow_bucket; bucket < RolloutMetrics::kLatencyBuckets; ++bucket)
        slow += metrics.latency[bucket];
      return slow;
    }
    case Measure::retries:
      if (metrics.attempts <= metrics.requests) return 0;
      return static_cast<double>(metrics.attempts - metrics.requests);
    case Measure::fills:
      return static_cast<double>(metrics.fills);
  }
  return 0;
}

/// Factor of the harm threshold. It is higher for slow answers, retries and fills: an increase of these by a
/// tenth of the requests does not mean that a tenth of the requests is worse off.
double harm_weight(Measure measure) {
  switch (measure) {
    case Measure::rejected:
    case Measure::failed:
    case Measure::late:
      return 1;
    case Measure::slow:
    case Measure::retries:
    case Measure::fills:
      return 10;
  }
  return 1;
}

}  // namespace

std::string_view to_string(Measure measure) {
  switch (measure) {
    case Measure::rejected:
      return "rejected";
    case Measure::failed:
      return "failed";
    case Measure::late:
      return "late";
    case Measure::slow:
      return "slow";
    case Measure::retries:
      return "retries";
    case Measure::fills:
      return "fills";
  }
  return "";
}

void CanaryAnalysis::add_baseline(std::uint64_t router, const RolloutMetrics& metrics) {
  if (!baselines_.emplace(router, metrics).second) return;
  fleet_baseline_.add_counts(metrics);
  update_slow_bucket();
  const auto requests = static_cast<double>(fleet_baseline_.requests);
  for (const auto measure : kAllMeasures) {
    const double events = adverse_events(fleet_baseline_, measure, first_slow_bucket_);
    fleet_rate_[index_of(measure)] = std::max(kMinRate, requests > 0 ? events / requests : 0);
  }
}

void CanaryAnalysis::update_slow_bucket() {
  const auto& latency = fleet_baseline_.latency;
  double all = 0;
  for (const auto count : latency) all += count;
  double slow = 0;
  first_slow_bucket_ = RolloutMetrics::kLatencyBuckets;
  while (first_slow_bucket_ > 1 && slow + latency[first_slow_bucket_ - 1] <= kSlowShare * all) {
    --first_slow_bucket_;
    slow += latency[first_slow_bucket_];
  }
}

double CanaryAnalysis::rate(std::uint64_t router, Measure measure) const {
  const double mean = std::max(kMinRate, fleet_rate_[index_of(measure)]);
  const auto baseline = baselines_.find(router);
  if (baseline == baselines_.end()) return mean;
  return (adverse_events(baseline->second, measure, first_slow_bucket_) + kShrinkageEvents) /
         (static_cast<double>(baseline->second.requests) + kShrinkageEvents / mean);
}

void CanaryAnalysis::add_interval(const std::vector<Sample>& samples) {
  std::map<std::size_t, SiteSamples> sites;
  for (const auto& sample : samples) {
    stage_requests_[sample.cohort] += sample.delta.requests;
    if (sample.cohort == Cohort::canary) {
      canary_requests_ += sample.delta.requests;
      canary_violations_ += sample.delta.invariant_violations;
    }
    sites[sample.site].push_back(&sample);
  }
  for (const auto measure : kAllMeasures)
    for (const auto& [number, site] : sites) compare(measure, site);
  add_resource_usage(samples);
  conclude();
}

void CanaryAnalysis::compare(Measure measure, const SiteSamples& site) {
  auto& evidence = evidence_[index_of(measure)];
  PerCohort<double> events;
  PerCohort<double> expected;
  for (const auto* sample : site) {
    events[sample->cohort] += adverse_events(sample->delta, measure, first_slow_bucket_);
    expected[sample->cohort] += static_cast<double>(sample->delta.requests) * rate(sample->router, measure);
  }
  if (expected.control <= 0) return;
  if (events.control > 0) add_dispersion(evidence, measure, site, events.control, expected.control);
  if (expected.canary <= 0) return;
  const double tolerated = limits_.tolerated_ratio * expected.canary;
  evidence.observed += events.canary;
  evidence.expected += std::max(0.0, events.control) * expected.canary / expected.control;
  double dispersion = 1;
  if (evidence.dispersion_terms >= kMinDispersionTerms)
    dispersion = std::clamp(evidence.dispersion / evidence.dispersion_terms, 1.0, kMaxDispersion);
  for (std::size_t n = 0; n < kAlternatives; ++n) {
    const double null_share = tolerated / (tolerated + expected.control);
    const double alternative = kAlternativeRatios[n] * tolerated;
    const double alternative_share = alternative / (alternative + expected.control);
    evidence.log_likelihood_ratio[n] +=
        (events.canary * std::log(alternative_share / null_share) +
         events.control * std::log((1 - alternative_share) / (1 - null_share))) /
        dispersion;
  }
}

/// Adds a term of Pearson's chi-squared statistic for each control router: its events against its share of
/// the control's total.
void CanaryAnalysis::add_dispersion(Evidence& evidence, Measure measure, const SiteSamples& site,
                                    double events, double expected) const {
  for (const auto* sample : site) {
    if (sample->cohort != Cohort::control || sample->delta.requests == 0) continue;
    const double expected_events =
        events * static_cast<double>(sample->delta.requests) * rate(sample->router, measure) / expected;
    const double deviation = adverse_events(sample->delta, measure, first_slow_bucket_) - expected_events;
    evidence.dispersion += deviation * deviation / std::max(expected_events, kMinDispersionExpected);
    evidence.dispersion_terms += 1;
  }
}

void CanaryAnalysis::add_resource_usage(const std::vector<Sample>& samples) {
  PerCohort<double> memory;
  PerCohort<int> count;
  for (const auto& [router, site, cohort, delta] : samples) {
    if (delta.requests == 0) continue;
    cpu_time_[cohort] += delta.cpu_time;
    cpu_requests_[cohort] += static_cast<double>(delta.requests);
    if (delta.memory_mb <= 0) continue;
    memory[cohort] += delta.memory_mb;
    ++count[cohort];
  }
  const bool is_high = count.control > 0 && count.canary > 0 &&
                       memory.canary / count.canary > limits_.memory_ratio * memory.control / count.control &&
                       memory.canary / count.canary > memory.control / count.control + kMemoryMarginMb;
  high_memory_intervals_ = is_high ? high_memory_intervals_ + 1 : 0;
}

void CanaryAnalysis::conclude() {
  if (verdict_ == CanaryVerdict::worse) return;
  verdict_ = CanaryVerdict::healthy;
  reason_.clear();
  if (canary_violations_ > 0) raise(CanaryVerdict::worse, "the new generation violated an invariant");
  for (const auto measure : kAllMeasures) conclude_measure(measure);
  conclude_resource_usage();
}

void CanaryAnalysis::conclude_measure(Measure measure) {
  const auto& evidence = evidence_[index_of(measure)];
  const double requests = static_cast<double>(std::max<std::uint64_t>(canary_requests_, 1));
  double ratio = 0;
  for (const double log_ratio : evidence.log_likelihood_ratio)
    ratio += std::exp(std::min(log_ratio, kMaxLogLikelihoodRatio)) / kAlternatives;
  if ((evidence.observed - evidence.expected) / requests < limits_.harm_threshold * harm_weight(measure))
    return;
  char text[200];
  std::snprintf(
      text, sizeof text, "%s: %.4f per request with the new generation, %.4f expected, over %.0f requests",
      to_string(measure).data(), evidence.observed / requests, evidence.expected / requests, requests);
  if (ratio > kMeasures / limits_.false_stop_chance)
    raise(CanaryVerdict::worse, text);
  else if (ratio > limits_.inconclusive_from)
    raise(CanaryVerdict::inconclusive, text);
}

void CanaryAnalysis::conclude_resource_usage() {
  if (high_memory_intervals_ >= kHighMemoryIntervals)
    raise(CanaryVerdict::worse, "memory: over 1.5 times that of the old generation");
  if (cpu_time_.control <= kMinCpuTime || cpu_time_.canary <= kMinCpuTime) return;
  if (cpu_requests_.control <= 0 || cpu_requests_.canary <= 0) return;
  if (cpu_time_.canary / cpu_requests_.canary > limits_.cpu_ratio * cpu_time_.control / cpu_requests_.control)
    raise(CanaryVerdict::worse, "processor time per request: over 1.5 times that of the old generation");
}

/// Keeps the first reason of the most severe verdict.
void CanaryAnalysis::raise(CanaryVerdict verdict, const std::string& reason) {
  if (verdict <= verdict_) return;
  verdict_ = verdict;
  reason_ = reason;
}

}  // namespace walkpaddle::rollout
