#include "routing/service_time.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace walkpaddle::routing {

namespace {

std::size_t index_of(int request_class) { return static_cast<std::size_t>(request_class); }
std::size_t size_known(const RequestState& request) { return request.kbytes > 0 ? 1 : 0; }

}  // namespace

UnqueuedMean UnqueuedMean::restored(double mean, int samples, int unconfirmed) {
  UnqueuedMean restored(mean);
  restored.unqueued_mean_ = mean;
  restored.samples_ = samples;
  restored.unqueued_samples_ = samples;
  restored.unconfirmed_ = unconfirmed;
  return restored;
}

void UnqueuedMean::add(double value, bool unqueued, Evidence evidence) {
  constexpr int kSampleWindow = 50;  // seconds of answers
  constexpr int kMinReportedSamples = 2;
  constexpr int kMinInferredSamples = 10;
  unconfirmed_ = std::max(0, unconfirmed_ - 1);
  if (unqueued) {
    ++unqueued_samples_;
    unqueued_mean_ += (value - unqueued_mean_) / std::min(unqueued_samples_, kSampleWindow);
  }
  if (unqueued_samples_ >= (evidence == Evidence::reported ? kMinReportedSamples : kMinInferredSamples)) {
    mean_ = unqueued_mean_;
    return;
  }
  ++samples_;
  mean_ = mean_ + (value - mean_) / std::min(samples_, kSampleWindow);
}

void ServiceTimes::add_class(const RequestClass& request_class) {
  const Seconds objective = request_class.latency_objective;
  for (auto& by_class : excess_) by_class.push_back({objective, objective});
  sending_.emplace_back(objective);  // until hits tell: longer than most sendings
}

void ServiceTimes::restore(int request_class, double mean, int samples) {
  constexpr int kMaxSamples = 10;  // as many answers of the last start as a guess takes
  sending_[index_of(request_class)] =
      UnqueuedMean::restored(mean, std::min(samples, kMaxSamples), kMaxSamples);
}

Seconds ServiceTimes::mean_work(int request_class) const { return sending_[index_of(request_class)].mean(); }

Seconds ServiceTimes::work(const RequestState& request) const {
  const double rate = context_.fills.client_rate;
  return request.kbytes > 0 && rate > 0 ? request.kbytes / rate : mean_work(request.request_class);
}

Seconds ServiceTimes::cold_work(int request_class) const {
  const auto& sending = sending_[index_of(request_class)];
  if (sending.confirmed()) return sending.mean();
  return std::max(sending.mean(), context_.classes[index_of(request_class)].latency_objective);
}

double ServiceTimes::weight(const RequestState& request) const {
  constexpr double kMin = 0.1;
  constexpr double kMax = 5;
  if (request.represented_requests > 0) return request.represented_in_flight;
  return std::clamp(work(request) / mean_request_, kMin, kMax);
}

const ServiceTimes::Excess& ServiceTimes::excess(const RequestState& request) const {
  return excess_[size_known(request)][index_of(request.request_class)];
}

Seconds ServiceTimes::expected_latency(const RequestState& request) const {
  return (request.kbytes > 0 ? work(request) : 0) + excess(request).mean;
}

Seconds ServiceTimes::loss_timeout(const RequestState& request) const {
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

void ServiceTimes::record_sending(int request_class, Seconds sending, bool unqueued,
                                  UnqueuedMean::Evidence evidence) {
  sending_[index_of(request_class)].add(sending, unqueued, evidence);
}

}  // namespace walkpaddle::routing
