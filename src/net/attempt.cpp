#include "net/attempt.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "net/upstream_connection.h"
#include "net/upstream_pool.h"

namespace walkpaddle::net {

namespace {

// A deadline that was written into our own buffer goes stale there. Well under the slack that a server's
// deadline may have (0.15 s, docs/promises.md).
constexpr Seconds kLongestUnsent = 0.1;

}  // namespace

Attempt::Attempt(Scheduler& scheduler, UpstreamPool& pool, Spec spec)
    : scheduler_(scheduler),
      pool_(pool),
      spec_(std::move(spec)),
      event_(scheduler),
      started_at_(scheduler.now()) {
  pool_.start(*this);
}

Attempt::~Attempt() {
  if (!ended()) pool_.attempts_.erase(position_);
  release();
  report_to_guard(AttemptOutcome::cancelled);
}

UpstreamEndpoint& Attempt::endpoint() const { return pool_.endpoint(spec_.endpoint); }

// ---- Sending. ------------------------------------------------------------------------------------------

void Attempt::send_over(UpstreamConnection& connection) {
  const Seconds now = scheduler_.now();
  // Down to whole milliseconds: never longer than the request has.
  const Seconds time_left = spec_.timeout_at - scheduler_.now_uncached();
  const auto limit_ms = std::max(1L, static_cast<long>(std::floor(time_left * 1e3)));
  if (!guard_allows(connection, static_cast<Seconds>(limit_ms) / 1e3))
    return finish(AttemptOutcome::not_sent);
  first_byte_ = connection.stream().written();
  connection.send(
      *this,
      words_text({"serve", spec_.id_text, spec_.fields + ",limit=" + std::to_string(limit_ms), spec_.body}),
      now);
  connection_ = &connection;
  state_ = State::written;
  written_at_ = now;
  last_byte_ = connection.stream().written();
  event_.set();  // its task waits for another time now
}

// Asked last before the bytes go: whatever was decided before them may have been overtaken.
bool Attempt::guard_allows(const UpstreamConnection& connection, Seconds time_left) {
  if (pool_.guard_ == nullptr || spec_.record == nullptr) return true;
  const auto source_state = spec_.source >= 0 ? pool_.endpoint(spec_.source).state : EndpointState::ready;
  const guard::PlannedAttempt facts{.endpoint = endpoint().state,
                                    .source = source_state,
                                    .connection_ended = !connection.stream().can_write(),
                                    .deadline = time_left,
                                    .valid_since = spec_.copies_valid_since};
  passed_guard_ = pool_.guard_->may_begin(*spec_.record, facts, scheduler_.now()) == guard::Invariant::none;
  return passed_guard_;
}

void Attempt::report_to_guard(AttemptOutcome outcome) {
  if (!std::exchange(passed_guard_, false)) return;
  pool_.guard_->attempt_ended(*spec_.record, outcome, written_at_);
}

// ---- Waiting. ------------------------------------------------------------------------------------------

bool Attempt::is_unsent() const {
  return state_ == State::written && connection_->stream().flushed() <= first_byte_;
}

Seconds Attempt::next_deadline() const {
  if (state_ == State::cancelling) return settled_at_;
  if (is_unsent()) return std::min(spec_.timeout_at, written_at_ + kLongestUnsent);
  if (state_ == State::queued)
    return std::min({spec_.timeout_at, spec_.start_by, started_at_ + pool_.settings_.dial_timeout});
  return spec_.timeout_at;
}

void Attempt::on_timer() {
  const Seconds now = scheduler_.now();
  if (state_ == State::cancelling && now >= settled_at_) {
    release();
    return finish(result_.outcome);
  }
  if (state_ == State::queued && now >= spec_.start_by) return abandon();
  if (state_ == State::queued && now >= started_at_ + pool_.settings_.dial_timeout) {
    release();
    return finish(endpoint().wants_descriptor ? AttemptOutcome::not_sent : AttemptOutcome::unreachable);
  }
  if (is_unsent() && now >= written_at_ + kLongestUnsent) {
    connection_->mark_silent();  // no others wait behind it
    return abandon();
  }
  if ((state_ == State::queued || state_ == State::written) && now >= spec_.timeout_at)
    cancel_as(AttemptOutcome::timed_out);
}

void Attempt::queue_again() {
  report_to_guard(AttemptOutcome::not_sent);
  state_ = State::queued;
  connection_ = nullptr;
  endpoint().waiting.push_back(this);
  event_.set();  // its task waits for another time now
}

// ---- Ends. ---------------------------------------------------------------------------------------------

void Attempt::cancel() { cancel_as(AttemptOutcome::cancelled); }

void Attempt::abandon() {
  if (ended()) return;
  const bool unsent = withdraw();
  release();
  finish(unsent ? AttemptOutcome::not_sent : AttemptOutcome::cancelled);
}

void Attempt::abandon_if_unsent() {
  if (!ended() && withdraw()) abandon();
}

// Only where an answer had to come by now: a server may drop a request with little time left without a word.
// One that is cancelled may be repeated, so its connection ends in any case: a cancel alone may not arrive
// there.
bool Attempt::answer_was_due(AttemptOutcome outcome) const {
  constexpr double kMeansUntilDue = 4;  // multiple of the endpoint's mean response time
  return outcome != AttemptOutcome::timed_out || !spec_.is_final ||
         scheduler_.now() - written_at_ > kMeansUntilDue * endpoint().mean_response_time;
}

// Prevents two attempts of a request from being out at once, and an answer to the first from being taken for
// the second's: a cancelled one ends only when the cancel must have arrived and what crossed it has come
// back.
void Attempt::cancel_as(AttemptOutcome outcome) {
  if (ended() || state_ == State::cancelling) return;
  if (state_ == State::written && answer_was_due(outcome) && connection_->heard_at() <= written_at_)
    connection_->mark_silent();
  if (withdraw()) return abandon();
  if (outcome == AttemptOutcome::timed_out && spec_.is_final) {
    release();
    return finish(outcome);
  }
  send_cancel();
  result_.outcome = outcome;
  settled_at_ = scheduler_.now() + 2 * endpoint().least_response_time;
  state_ = State::cancelling;
  event_.set();  // its task waits for another time now
}

void Attempt::send_cancel() {
  if (pool_.settings_.can_cancel) connection_->stream().write(words_text({"cancel", spec_.id_text}));
}

// Prevents an attempt that waits for a peer that reads nothing from reaching it when its client has long
// left, its endpoint drains or its window is over: of what the kernel has not taken, nothing was sent.
bool Attempt::withdraw() {
  if (state_ == State::queued) return true;
  if (state_ != State::written) return false;
  auto& connection = *connection_;
  if (!connection.withdraw(*this)) return false;
  connection_ = nullptr;
  state_ = State::queued;
  report_to_guard(AttemptOutcome::not_sent);
  connection.close_if_drained();
  return true;
}

void Attempt::release() {
  if (state_ == State::queued) std::erase(endpoint().waiting, this);
  if (connection_ == nullptr) return;
  auto& connection = *connection_;
  const bool may_be_answered = state_ == State::written;
  if (may_be_answered) send_cancel();
  connection.release(*this, may_be_answered);
  connection_ = nullptr;
  connection.close_if_drained();
}

// One of which nothing has left waits again. Prevents a close that follows an answer from looking as if
// nobody were there: the endpoint had capacity for the next attempt on this connection.
void Attempt::connection_ended(std::uint64_t bytes_handed) {
  if (state_ == State::written && bytes_handed <= first_byte_) return queue_again();
  if (state_ == State::cancelling) return finish(result_.outcome);
  finish(bytes_handed >= last_byte_ ? AttemptOutcome::connection_broken : AttemptOutcome::unreachable);
}

void Attempt::finish(AttemptOutcome outcome) {
  if (!ended()) pool_.attempts_.erase(position_);
  report_to_guard(outcome);
  if (pool_.guard_ != nullptr) ++pool_.guard_->counters().attempts_ended[static_cast<std::size_t>(outcome)];
  state_ = State::ended;
  connection_ = nullptr;
  result_.outcome = outcome;
  event_.set();
}

}  // namespace walkpaddle::net
