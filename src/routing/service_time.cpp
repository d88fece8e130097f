#include "routing/service_time.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace walkpaddle::routing {

namespace {

std::size_t index_of(int request_class) { return static_cast<std::size_t>(request_class); }
std::size_t size_known(const RequestState& request) { return request.kbytes > 0 ? 1 : 0; }

}  // namespace

QuietMean QuietMean::restored(double mean, int samples, int unproved) {
  QuietMean restored(mean);
  restored.quiet_mean_ = mean;
  restored.samples_ = samples;
  restored.quiet_samples_ = samples;
  restored.unproved_ = unproved;
  return restored;
}

void QuietMean::add(double value, bool quiet, Evidence evidence) {
  constexpr int kAveragedOver = 50;  // seconds of answers
  constexpr int kEnoughReported = 2;
  constexpr int kEnoughGuessed = 10;
  unproved_ = std::max(0, unproved_ - 1);
  if (quiet) {
    ++quiet_samples_;
    quiet_mean_ += (value - quiet_mean_) / std::min(quiet_samples_, kAveragedOver);
  }
  if (quiet_samples_ >= (evidence == Evidence::reported ? kEnoughReported : kEnoughGuessed)) {
    mean_ = quiet_mean_;
    return;
  }
  ++samples_;
  mean_ = mean_ + (value - mean_) / std::min(samples_, kAveragedOver);
}

void ServiceTimes::add_class(const RequestClass& request_class) {
  const Seconds objective = request_class.latency_objective;
  for (auto& by_class : excess_) by_class.push_back({objective, objective});
  sending_.emplace_back(objective);  // until hits tell: longer than most sendings
}

void ServiceTimes::restore(int request_class, double mean, int samples) {
  constexpr int kMostSamples = 10;  // as many answers of the last start as a guess takes
  sending_[index_of(request_class)] =
      QuietMean::restored(mean, std::min(samples, kMostSamples), kMostSamples);
}

Seconds ServiceTimes::mean_work(int request_class) const { return sending_[index_of(request_class)].mean(); }

Seconds ServiceTimes::work(const RequestState& request) const {
  const double rate = context_.fills.client_rate;
  return request.kbytes > 0 && rate > 0 ? request.kbytes / rate : mean_work(request.request_class);
}

Seconds ServiceTimes::cold_work(int request_class) const {
  const auto& sending = sending_[index_of(request_class)];
  if (sending.proved()) return sending.mean();
  return std::max(sending.mean(), context_.classes[index_of(request_class)].latency_objective);
}

double ServiceTimes::weight(const RequestState& request) const {
  constexpr double kLeast = 0.1;
  constexpr double kMost = 5;
  if (request.represented_requests > 0) return request.represented_in_flight;
  return std::clamp(work(request) / mean_request_, kLeast, kMost);
}

const ServiceTimes::Excess& ServiceTimes::excess(const RequestState& request) const {
  return excess_[size_known(request)][index_of(request.request_class)];
}

Seconds ServiceTimes::expected_latency(const RequestState& request) const {
  return (request.kbytes > 0 ? work(request) : 0) + excess(request).mean;
}

Seconds ServiceTimes::patience(const RequestState& request) const {
  constexpr double kDeviations = 8;
  return expected_latency(request) + kDeviations * excess(request).deviation;
}

void ServiceTimes::record_request(const RequestState& request) {
  constexpr double kGain = 0.01;
  mean_request_ += (work(request) - mean_request_) * kGain;
}

void ServiceTimes::record_latency(const RequestState& request, Seconds took) {
  constexpr double kGain = 0.02;  // some seconds of answers
  auto& excess = excess_[size_known(request)][index_of(request.request_class)];
  const double over = took - (request.kbytes > 0 ? work(request) : 0);
  excess.deviation += (std::abs(over - excess.mean) - excess.deviation) * kGain;
  excess.mean += (over - excess.mean) * kGain;
}

void ServiceTimes::record_sending(int request_class, Seconds sending, bool quiet,
                                  QuietMean::Evidence evidence) {
  sending_[index_of(request_class)].add(sending, quiet, evidence);
}

}  // namespace walkpaddle::routing
