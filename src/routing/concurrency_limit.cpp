#include "routing/concurrency_limit.h"

#include <algorithm>

namespace walkpaddle::routing {

void ConcurrencyLimit::divide_among(int routers, double min_floor) {
  constexpr double kSmallMachineAttempts = 32;  // attempts that a small machine has in flight
  constexpr double kMinInitial = 1.5;           // of one router
  constexpr double kMachineFloor = 8;           // what one machine still does
  limit_ = std::clamp(kSmallMachineAttempts / routers, kMinInitial, limit_);
  floor_ = std::clamp(kMachineFloor / routers, min_floor, floor_);
}

bool ConcurrencyLimit::admits(double weight, Seconds now) const {
  return in_flight_ <= 0 ? now >= paused_until_ : in_flight_ + weight <= limit_;
}

namespace {

// What rounding leaves is no attempt.
double without_rounding_error(double in_flight) {
  constexpr double kRoundingError = 1e-6;
  return in_flight < kRoundingError ? 0 : in_flight;
}

}  // namespace

void ConcurrencyLimit::reserve(double weight) { in_flight_ = without_rounding_error(in_flight_ + weight); }

void ConcurrencyLimit::release(double weight, Seconds took, Seconds now) {
  constexpr Seconds kMaxPause = 20;  // some clients' patience
  in_flight_ = without_rounding_error(in_flight_ - weight);
  was_half_used_ = in_flight_ + weight > limit_ / 2;
  if (limit_ < 1) paused_until_ = now + std::min(kMaxPause, (1 / limit_ - 1) * took);
}

void ConcurrencyLimit::record_lost(Seconds now) {
  if (late_share_ > kMaxLateShare / 3) record_answer(1, now);
}

void ConcurrencyLimit::record_answer(double lateness, Seconds now, Queueing queueing) {
  // The share is of ten answers, or, where hundreds of routers see few each, of ten seconds; one alone is
  // never the half.
  constexpr double kMinGain = 0.1;
  constexpr double kMaxGain = 0.3;
  constexpr Seconds kTimeConstant = 10;
  constexpr double kGrowthUnderOne = 0.1;
  late_share_ +=
      (lateness - late_share_) * std::clamp((now - last_answer_at_) / kTimeConstant, kMinGain, kMaxGain);
  last_answer_at_ = now;
  if (late_share_ > kMaxLateShare) return reduce(now);
  if (lateness > 0 || !was_half_used_) return;
  if (limit_ < 1)
    limit_ += kGrowthUnderOne;
  else
    limit_ += queueing == Queueing::none && !congested_ ? 1 : 1 / limit_;
}

void ConcurrencyLimit::reduce(Seconds now) {
  constexpr Seconds kMinReductionInterval = 0.5;  // about an answer's time
  constexpr double kDecrease = 0.8;
  congested_ = true;
  if (now - reduced_at_ < kMinReductionInterval) return;
  reduced_at_ = now;
  limit_ = std::max(floor_, limit_ * kDecrease);
}

void ConcurrencyLimit::restart_at(double initial) {
  limit_ = initial;
  congested_ = true;
}

void ConcurrencyLimit::raise_to(double limit) {
  if (!congested_) limit_ = std::max(limit_, limit);
}

}  // namespace walkpaddle::routing
