#include "routing/retry.h"

#include <algorithm>

namespace walkpaddle::routing {

namespace {

constexpr Seconds kWindowMargin = 0.05;  // between a decision and the endpoint's clock

bool nothing_ran(const RequestState& request) { return request.may_have_run_at >= kNever; }

}  // namespace

bool proves_not_run(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::unreachable ||
         outcome == AttemptOutcome::not_sent || outcome == AttemptOutcome::not_cached;
}

bool proves_endpoint_alive(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::timed_out && outcome != AttemptOutcome::unreachable &&
         outcome != AttemptOutcome::cancelled && outcome != AttemptOutcome::not_sent;
}

bool proves_failure(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::served && outcome != AttemptOutcome::cancelled &&
         outcome != AttemptOutcome::not_sent;
}

bool may_retry(const RequestState& request, const RequestClass& request_class, Seconds now) {
  if (nothing_ran(request) || request_class.idempotency == Idempotency::idempotent) return true;
  if (request_class.idempotency == Idempotency::non_idempotent) return false;
  return now - request.may_have_run_at < request_class.deduplication_window - kWindowMargin;
}

bool repeat_is_dropped(const RequestState& request, const RequestClass& request_class, const Endpoint& first,
                       const Endpoint& candidate) {
  if (request_class.idempotency != Idempotency::with_key || nothing_ran(request)) return true;
  switch (request_class.deduplication) {
    case DeduplicationScope::all:
      return true;
    case DeduplicationScope::location:
      return first.location == candidate.location;
    case DeduplicationScope::cell:
      return first.cell == candidate.cell;
  }
  return false;
}

bool may_reject(const RequestState& request, const RequestClass& request_class) {
  return nothing_ran(request) || request_class.idempotency == Idempotency::idempotent ||
         (request_class.idempotency == Idempotency::with_key &&
          request_class.deduplication == DeduplicationScope::all);
}

Seconds latest_start(const RequestState& request, const RequestClass& request_class) {
  if (request_class.idempotency != Idempotency::with_key || nothing_ran(request)) return 0;
  return request.may_have_run_at + request_class.deduplication_window - kWindowMargin;
}

Seconds pause_after_rejection(FillOutcome fill, int earlier) {
  constexpr Seconds kFirst = 0.02;
  constexpr Seconds kFirstAfterOriginFailure = 0.5;  // an origin that failed takes longer to recover
  constexpr int kMaxDoublings = 4;
  const Seconds first = fill == FillOutcome::origin_failed ? kFirstAfterOriginFailure : kFirst;
  return first * (1 << std::min(kMaxDoublings, earlier));
}

Seconds pause_after_immediate_failure(Seconds time_left, int attempts_left) {
  constexpr double kShareOfTimeLeft = 0.25;
  constexpr Seconds kMin = 0.02;
  constexpr Seconds kMax = 0.5;
  return std::clamp(kShareOfTimeLeft * time_left / std::max(1, attempts_left), kMin, kMax);
}

}  // namespace walkpaddle::routing
