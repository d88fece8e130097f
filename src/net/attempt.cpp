#include "net/attempt.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "net/upstream_connection.h"
#include "net/upstream_pool.h"

namespace walkpaddle::net {

namespace {

// A message carries the time that is left, which goes stale while the message waits in the send buffer. The
// limit is well under the 0.15 s by which a forwarded deadline may exceed the client's (docs/promises.md).
constexpr Seconds kMaxUnsentTime = 0.1;

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
  // Rounded down to whole milliseconds, so that it does not exceed the time that the request has left.
  const Seconds time_left = spec_.timeout_at - scheduler_.now_uncached();
  const auto limit_ms = std::max(1L, static_cast<long>(std::floor(time_left * 1e3)));
  if (!guard_allows(connection, static_cast<Seconds>(limit_ms) / 1e3))
    return finish(AttemptOutcome::not_sent);
  first_byte_ = connection.stream().written();
  connection.send(*this,
                  resp_array_text({"serve", spec_.id_text,
                                   spec_.fields + ",limit=" + std::to_string(limit_ms), spec_.body}),
                  now);
  connection_ = &connection;
  state_ = State::written;
  written_at_ = now;
  last_byte_ = connection.stream().written();
  event_.set();  // next_deadline() has changed
}

// The guard is asked immediately before the write, because the state may have changed since the decision.
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

Seconds Attempt::memory_wait() const {
  return state_ == State::written ? connection_->memory_wait() - memory_wait_before_ : 0;
}

bool Attempt::awaits_memory() const { return state_ == State::written && connection_->awaits_memory(); }

// The time in which the answer is not read on does not count against the endpoint, but against the request.
Seconds Attempt::timeout_at() const {
  return std::min(std::max(spec_.timeout_at, spec_.deadline), spec_.timeout_at + memory_wait());
}

Seconds Attempt::next_deadline() const {
  constexpr Seconds kMemoryPollInterval = 0.05;
  if (state_ == State::cancelling) return cancel_settled_at_;
  if (is_unsent()) return std::min(spec_.timeout_at, written_at_ + kMaxUnsentTime);
  if (awaits_memory()) return std::max(timeout_at(), scheduler_.now() + kMemoryPollInterval);
  if (state_ == State::queued)
    return std::min({spec_.timeout_at, spec_.start_by, started_at_ + pool_.settings_.dial_timeout});
  return timeout_at();
}

void Attempt::on_timer() {
  const Seconds now = scheduler_.now();
  if (state_ == State::cancelling && now >= cancel_settled_at_) {
    release();
    return finish(result_.outcome);
  }
  if (state_ == State::queued && now >= spec_.start_by) return abandon();
  if (state_ == State::queued && now >= started_at_ + pool_.settings_.dial_timeout) {
    release();
    return finish(endpoint().awaits_descriptor ? AttemptOutcome::not_sent : AttemptOutcome::unreachable);
  }
  if (is_unsent() && now >= written_at_ + kMaxUnsentTime) {
    connection_->mark_unresponsive();  // keeps new attempts from queueing behind this one
    return abandon();
  }
  if ((state_ == State::queued || state_ == State::written) && now >= timeout_at())
    cancel_as(AttemptOutcome::timed_out);
}

void Attempt::queue_again() {
  report_to_guard(AttemptOutcome::not_sent);
  state_ = State::queued;
  connection_ = nullptr;
  endpoint().waiting.push_back(this);
  event_.set();  // next_deadline() has changed
}

// ---- Ending. -------------------------------------------------------------------------------------------

void Attempt::cancel() {
  if (!awaits_memory()) cancel_as(AttemptOutcome::cancelled);
}

void Attempt::abandon() {
  if (ended()) return;
  const bool unsent = withdraw();
  release();
  finish(unsent ? AttemptOutcome::not_sent : AttemptOutcome::cancelled);
}

void Attempt::abandon_if_unsent() {
  if (!ended() && withdraw()) abandon();
}

// Whether an endpoint without an answer so far counts as unresponsive. At a final time-out it does only after
// several mean response times, because a server may silently drop a request with little time left. In all
// other cases a retry may follow, so the connection must end: a cancel alone may not arrive there.
bool Attempt::answer_was_due(AttemptOutcome outcome) const {
  constexpr double kMeansUntilDue = 4;  // multiple of the endpoint's mean response time
  return outcome != AttemptOutcome::timed_out || !spec_.is_final ||
         scheduler_.now() - written_at_ > kMeansUntilDue * endpoint().mean_response_time;
}

// A cancelled attempt ends only when the cancel must have arrived and an answer that crossed it must have
// come back. This keeps two attempts of a request from being in flight at once, and an answer to the first
// from being taken for the second's.
void Attempt::cancel_as(AttemptOutcome outcome) {
  if (ended() || state_ == State::cancelling) return;
  const bool awaited_memory = memory_wait() > 0;
  if (awaited_memory) outcome = AttemptOutcome::cancelled;  // the answer may be here, unread
  if (state_ == State::written && !awaited_memory && answer_was_due(outcome) &&
      connection_->last_received_at() <= written_at_)
    connection_->mark_unresponsive();
  if (withdraw()) return abandon();
  if (scheduler_.now() >= (spec_.is_final ? spec_.timeout_at : spec_.deadline)) {
    release();
    return finish(outcome);
  }
  send_cancel();
  result_.outcome = outcome;
  cancel_settled_at_ = scheduler_.now() + 2 * endpoint().least_response_time;
  state_ = State::cancelling;
  event_.set();  // next_deadline() has changed
}

void Attempt::send_cancel() {
  if (pool_.settings_.can_cancel) connection_->stream().write(resp_array_text({"cancel", spec_.id_text}));
}

// Removes the message from the send buffer while the kernel has taken none of it. Otherwise an attempt that
// is buffered for a peer that does not read could reach it after the client has left, the endpoint has begun
// to drain, or the deduplication window has ended.
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

// An attempt of which no byte was sent is queued again. An endpoint may close a connection after an answer
// while the next attempt is still buffered for it; that does not make the endpoint unreachable.
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
