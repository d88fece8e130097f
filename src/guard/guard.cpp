#include "guard/guard.h"

#include <numeric>

namespace walkpaddle::guard {

namespace {

constexpr Seconds kDeadlineSlack =
    0.15;  // the deadline passed on may be longer than what the client has left by this

bool proves_not_run(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::rejected || outcome == AttemptOutcome::unreachable ||
         outcome == AttemptOutcome::not_sent || outcome == AttemptOutcome::not_cached;
}

}  // namespace

Invariant Guard::record_violation(Invariant invariant, std::uint64_t request) {
  ++violations_[static_cast<std::size_t>(invariant)];
  if (report_) report_(invariant, request);
  return invariant;
}

std::uint64_t Guard::violations() const {
  return std::accumulate(violations_.begin(), violations_.end(), std::uint64_t{0});
}

Invariant Guard::check(const RequestRecord& r, const PlannedAttempt& a, Seconds now) const {
  if (r.client_left_) return Invariant::attempt_after_leave;
  if (r.answered_) return Invariant::answer_once;
  if (r.in_flight_ > 0) return Invariant::one_attempt_out;
  if (a.deadline > r.expires_ - now + kDeadlineSlack) return Invariant::deadline_passed;
  if (a.endpoint != EndpointState::ready || a.source != EndpointState::ready) return Invariant::drain_kept;
  if (a.valid_since < r.valid_since_) return Invariant::purge_kept;
  if (a.connection_ended) return Invariant::attempt_after_end;
  if (r.may_have_run_at_ < 0 || r.rule_.idempotency == Idempotency::idempotent) return Invariant::none;
  const bool repeat_is_dropped =
      r.rule_.idempotency == Idempotency::with_key && now < r.may_have_run_at_ + r.rule_.deduplication_window;
  return repeat_is_dropped ? Invariant::none : Invariant::effect_once;
}

Invariant Guard::may_begin(RequestRecord& r, const PlannedAttempt& a, Seconds now) {
  if (const auto violated = check(r, a, now); violated != Invariant::none)
    return record_violation(violated, r.id_);
  ++counters_.attempts;
  ++r.in_flight_;
  return Invariant::none;
}

void Guard::attempt_ended(RequestRecord& r, AttemptOutcome outcome, Seconds began) {
  --r.in_flight_;
  if (r.may_have_run_at_ < 0 && !proves_not_run(outcome)) r.may_have_run_at_ = began;
}

Invariant Guard::may_answer(RequestRecord& r) {
  if (r.answered_) return record_violation(Invariant::answer_once, r.id_);
  r.answered_ = true;
  return Invariant::none;
}

Invariant Guard::may_reject(const RequestRecord& r) {
  const bool harmless = r.rule_.idempotency != Idempotency::non_idempotent || r.may_have_run_at_ < 0;
  return harmless ? Invariant::none : record_violation(Invariant::refusal_harmless, r.id_);
}

Invariant Guard::may_answer_not_modified(const RequestRecord& r, std::string_view client_etag,
                                         std::string_view endpoint_etag) {
  return !client_etag.empty() && client_etag == endpoint_etag
             ? Invariant::none
             : record_violation(Invariant::copy_named, r.id_);
}

Invariant Guard::may_accept_request(bool connection_open) {
  return connection_open ? Invariant::none : record_violation(Invariant::attempt_after_end, 0);
}

Invariant Guard::may_half_close(std::size_t requests_open, std::size_t bytes_unsent) {
  return requests_open == 0 && bytes_unsent == 0 ? Invariant::none
                                                 : record_violation(Invariant::close_idle_only, 0);
}

Invariant Guard::may_report_ready(bool list_read, bool serving) {
  return list_read && serving ? Invariant::none : record_violation(Invariant::ready_when_serving, 0);
}

}  // namespace walkpaddle::guard
