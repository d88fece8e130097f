#include "guard/guard.h"

#include <numeric>

namespace walkpaddle::guard {

namespace {

constexpr Seconds kDeadlineSlack =
    0.15;  // the deadline passed on may be longer than what the client has left by this

bool proves_not_run(AttemptOutcome verdict) {
  return verdict == AttemptOutcome::rejected || verdict == AttemptOutcome::unreachable ||
         verdict == AttemptOutcome::not_sent || verdict == AttemptOutcome::not_cached;
}

}  // namespace

Invariant Guard::refused(Invariant invariant, std::uint64_t request) {
  ++violations_[static_cast<std::size_t>(invariant)];
  if (report_) report_(invariant, request);
  return invariant;
}

std::uint64_t Guard::violations() const {
  return std::accumulate(violations_.begin(), violations_.end(), std::uint64_t{0});
}

Invariant Guard::check(const RequestRecord& r, const PlannedAttempt& a, Seconds now) const {
  if (r.left_) return Invariant::attempt_after_leave;
  if (r.answered_) return Invariant::answer_once;
  if (r.out_ > 0) return Invariant::one_attempt_out;
  if (a.deadline > r.expires_ - now + kDeadlineSlack) return Invariant::deadline_passed;
  if (a.endpoint != EndpointState::ready || a.source != EndpointState::ready) return Invariant::drain_kept;
  if (a.valid_since < r.copies_since_) return Invariant::purge_kept;
  if (a.connection_ended) return Invariant::attempt_after_end;
  if (r.ran_at_ < 0 || r.rule_.effect == Idempotency::idempotent) return Invariant::none;
  const bool repeat_is_dropped = r.rule_.effect == Idempotency::with_key && now < r.ran_at_ + r.rule_.window;
  return repeat_is_dropped ? Invariant::none : Invariant::effect_once;
}

Invariant Guard::may_begin(RequestRecord& r, const PlannedAttempt& a, Seconds now) {
  if (const auto broken = check(r, a, now); broken != Invariant::none) return refused(broken, r.id_);
  ++counters_.attempts;
  ++r.out_;
  return Invariant::none;
}

void Guard::attempt_ended(RequestRecord& r, AttemptOutcome verdict, Seconds began) {
  --r.out_;
  if (r.ran_at_ < 0 && !proves_not_run(verdict)) r.ran_at_ = began;
}

Invariant Guard::may_answer(RequestRecord& r) {
  if (r.answered_) return refused(Invariant::answer_once, r.id_);
  r.answered_ = true;
  return Invariant::none;
}

Invariant Guard::may_reject(const RequestRecord& r) {
  const bool harmless = r.rule_.effect != Idempotency::non_idempotent || r.ran_at_ < 0;
  return harmless ? Invariant::none : refused(Invariant::refusal_harmless, r.id_);
}

Invariant Guard::may_answer_not_modified(const RequestRecord& r, std::string_view held,
                                         std::string_view named) {
  return !held.empty() && held == named ? Invariant::none : refused(Invariant::copy_named, r.id_);
}

Invariant Guard::may_accept_request(bool connection_open) {
  return connection_open ? Invariant::none : refused(Invariant::attempt_after_end, 0);
}

Invariant Guard::may_half_close(std::size_t requests_open, std::size_t bytes_unsent) {
  return requests_open == 0 && bytes_unsent == 0 ? Invariant::none : refused(Invariant::close_idle_only, 0);
}

Invariant Guard::may_report_ready(bool list_read, bool serving) {
  return list_read && serving ? Invariant::none : refused(Invariant::ready_when_serving, 0);
}

}  // namespace walkpaddle::guard
