/// \file
/// Estimates of how long answers take: the sending time by class or known size, and the latency beyond it.
/// They determine the weight of an attempt, its expected latency, and when it counts as lost.
#pragma once

#include <array>
#include <vector>

#include "routing/context.h"
#include "routing/request_state.h"

namespace walkpaddle::routing {

/// A running mean of samples that did not wait in a queue. Until there are enough of them it is the mean of
/// all samples, so that an estimate exists at once. Under load the few answers without a queue are those of
/// the smallest objects, so several are required before they determine the mean; later queued samples are
/// left out, so that the mean does not grow with a queue. One of many routers may see ten answers a second,
/// few of them unqueued.
class UnqueuedMean {
 public:
  /// How it is known that a sample did not queue: reported by the endpoint's load report, or inferred from
  /// what this router has in flight there. Ten inferred samples are required, which have about half the
  /// standard error of three; two reported ones suffice, so that a single small object does not determine the
  /// mean.
  enum class Evidence { reported, inferred };

  /// `initial` is the mean until the first sample.
  explicit UnqueuedMean(double initial) : mean_(initial) {}
  /// Restores a mean from an earlier start. It is unconfirmed until `unconfirmed` samples have been added.
  static UnqueuedMean restored(double mean, int samples, int unconfirmed = 0);

  /// Adds a sample; `unqueued`: it did not wait in a queue.
  void add(double value, bool unqueued, Evidence evidence = Evidence::reported);
  double mean() const { return mean_; }                       ///< the current estimate
  double unqueued_mean() const { return unqueued_mean_; }     ///< mean of the unqueued samples alone
  int samples() const { return samples_; }                    ///< samples until enough were unqueued
  int unqueued_samples() const { return unqueued_samples_; }  ///< number of unqueued samples
  bool confirmed() const { return unconfirmed_ <= 0; }        ///< enough samples since the start support it

 private:
  double mean_ = 0;
  double unqueued_mean_ = 0;
  int samples_ = 0;
  int unqueued_samples_ = 0;
  int unconfirmed_ = 0;
};

/// Service times by request class.
class ServiceTimes {
 public:
  /// `context` must outlive it.
  explicit ServiceTimes(const PolicyContext& context) : context_(context) {}

  /// Adds the next class. Until answers arrive its sending time is taken as its latency objective.
  void add_class(const RequestClass& request_class);
  /// Restores the mean sending time of a class. It does not lower cold_work() until it is confirmed.
  void restore(int request_class, double mean, int samples);
  /// Sending times by class.
  const std::vector<UnqueuedMean>& by_class() const { return sending_; }

  /// Work of a request: seconds to send its answer to the client, from the size if known, otherwise the mean
  /// of its class.
  Seconds work(const RequestState& request) const;
  /// Mean work of a class.
  Seconds mean_work(int request_class) const;
  /// Work charged to the budget of a cold cache: the mean of the class, or the latency objective if that is
  /// longer and the mean is unconfirmed.
  Seconds cold_work(int request_class) const;
  /// Weight of an attempt in limits, in attempts of mean work; a video weighs more than a page.
  double weight(const RequestState& request) const;
  /// Mean work of all requests.
  Seconds mean_request() const { return mean_request_; }

  /// Expected latency of an attempt sent now.
  Seconds expected_latency(const RequestState& request) const;
  /// Time after which an attempt counts as lost: several deviations above its expected latency.
  Seconds loss_timeout(const RequestState& request) const;

  /// Records the work of a request of a cacheable class.
  void record_request(const RequestState& request);
  /// Records that an attempt was served after `took` seconds.
  void record_latency(const RequestState& request, Seconds took);
  /// Records the sending time of an answer, known or estimated.
  void record_sending(int request_class, Seconds sending, bool unqueued = true,
                      UnqueuedMean::Evidence evidence = UnqueuedMean::Evidence::reported);

 private:
  /// Mean and mean deviation of the latency beyond a known sending time.
  struct Excess {
    double mean = 0;
    double deviation = 0;
  };
  const Excess& excess(const RequestState& request) const;

  const PolicyContext& context_;
  std::vector<UnqueuedMean> sending_;          // by class; samples from known sizes or hits
  std::array<std::vector<Excess>, 2> excess_;  // by whether the size was known, by class
  Seconds mean_request_ = 0.4;
};

}  // namespace walkpaddle::routing
