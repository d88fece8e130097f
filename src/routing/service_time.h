/// \file
/// How long answers take: the sending time of a class or of a known size, and how far attempts lately went
/// past it. From these follow the weight of an attempt, when an answer is expected, and how long the policy
/// is patient with one.
#pragma once

#include <array>
#include <vector>

#include "routing/context.h"
#include "routing/request_state.h"

namespace walkpaddle::routing {

/// A running mean as it is without queueing; until enough samples came so, of whatever comes: something is
/// known at once. Prevents a busy start, where the few answers that come without a queue are those of the
/// smallest objects, from setting the mean, and means that follow a queue: one of many routers may see ten
/// answers a second, few of them without one.
class UnqueuedMean {
 public:
  /// How it is known that there was no queue. A guess by what is in flight here takes ten samples, which
  /// halve the doubt of three; a report of the endpoint takes two, enough that one small object does not
  /// stand for all.
  enum class Evidence { reported, inferred };

  /// `initial` stands until samples come.
  explicit UnqueuedMean(double initial) : mean_(initial) {}
  /// One that an earlier start left; `unconfirmed`: samples to come before it counts fully.
  static UnqueuedMean restored(double mean, int samples, int unconfirmed = 0);

  /// One more sample; `unqueued`: it did not wait in a queue.
  void add(double value, bool unqueued, Evidence evidence = Evidence::reported);
  double mean() const { return mean_; }                       ///< what to go by
  double unqueued_mean() const { return unqueued_mean_; }     ///< of samples without a queue
  int samples() const { return samples_; }                    ///< that came before enough were unqueued
  int unqueued_samples() const { return unqueued_samples_; }  ///< without a queue
  bool confirmed() const { return unconfirmed_ <= 0; }        ///< enough samples of this start confirm it

 private:
  double mean_ = 0;
  double unqueued_mean_ = 0;
  int samples_ = 0;
  int unqueued_samples_ = 0;
  int unconfirmed_ = 0;
};

/// Means by class.
class ServiceTimes {
 public:
  /// `context` must outlive it.
  explicit ServiceTimes(const PolicyContext& context) : context_(context) {}

  /// The next class; until answers come, its latency objective stands for its sending time.
  void add_class(const RequestClass& request_class);
  /// From an earlier start, by class. Against slow-start budgets it counts only once it is confirmed.
  void restore(int request_class, double mean, int samples);
  /// Sending times, by class.
  const std::vector<UnqueuedMean>& by_class() const { return sending_; }

  /// Seconds of sending to the client: by the size where that is known, else the mean of the class.
  Seconds work(const RequestState& request) const;
  /// Mean sending time of a class.
  Seconds mean_work(int request_class) const;
  /// What an attempt counts at a cold cache: the mean of its class, no less than the latency objective until
  /// it is confirmed.
  Seconds cold_work(int request_class) const;
  /// Work of an attempt in requests of mean work, for limits and bounds: a video counts for many pages.
  double weight(const RequestState& request) const;
  /// Of all requests, in seconds of sending.
  Seconds mean_request() const { return mean_request_; }

  /// When an attempt sent now is expected to end, from its sending on.
  Seconds expected_latency(const RequestState& request) const;
  /// How long an attempt may take before it is held for lost: well past what those of its class lately took.
  Seconds loss_timeout(const RequestState& request) const;

  /// A request of a class that is cached came.
  void record_request(const RequestState& request);
  /// An attempt was served after `took` seconds.
  void record_latency(const RequestState& request, Seconds took);
  /// The sending time of one answer, known or estimated.
  void record_sending(int request_class, Seconds sending, bool unqueued = true,
                      UnqueuedMean::Evidence evidence = UnqueuedMean::Evidence::reported);

 private:
  /// Mean and mean deviation of what attempts took past the sending that was known.
  struct Excess {
    double mean = 0;
    double deviation = 0;
  };
  const Excess& excess(const RequestState& request) const;

  const PolicyContext& context_;
  std::vector<UnqueuedMean> sending_;          // by class, from known sizes or hits
  std::array<std::vector<Excess>, 2> excess_;  // by whether the size was known, by class
  Seconds mean_request_ = 0.4;
};

}  // namespace walkpaddle::routing
