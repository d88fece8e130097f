/// \file
/// Last check before a step that cannot be undone: sending an attempt, answering a request, closing a
/// connection, reporting READY. The guard records only what was done and reported, independently of the
/// policy's decisions, and refuses a step that would break an invariant (docs/promises.md). A refusal
/// indicates a fault elsewhere: it is counted by invariant and reported with the request's id, and the caller
/// must not take the step. The guard does no I/O. Points in time are seconds on the router's monotonic clock.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

#include "guard/counters.h"
#include "routing/policy.h"

namespace walkpaddle::guard {

/// The invariants that the guard checks.
enum class Invariant {
  none,                 ///< no invariant is broken: the step may be taken
  answer_once,          ///< a request is answered once, and no attempt follows its answer
  refusal_harmless,     ///< a rejected request can safely be sent again
  effect_once,          ///< a request that is not idempotent takes effect at most once
  one_attempt_out,      ///< a request has at most one attempt in flight
  attempt_after_leave,  ///< no attempt begins after the client has left
  deadline_passed,      ///< the deadline passed to the endpoint does not exceed the client's
  drain_kept,           ///< endpoint and source of an attempt are ready
  purge_kept,           ///< an attempt accounts for every purge of its object
  copy_named,           ///< "not modified" is answered only if the endpoint named the client's ETag
  attempt_after_end,    ///< nothing is sent or accepted on a connection that has ended
  close_idle_only,      ///< a connection with open requests or unsent bytes is not closed
  ready_when_serving,   ///< READY is reported once the endpoint list is known and requests are served
  count                 ///< number of enumerators above
};
/// Names of the invariants, by value.
constexpr std::array<std::string_view, static_cast<std::size_t>(Invariant::count)> kInvariantNames = {
    "none",
    "answer_once",
    "refusal_harmless",
    "effect_once",
    "one_attempt_out",
    "attempt_after_leave",
    "deadline_passed",
    "drain_kept",
    "purge_kept",
    "copy_named",
    "attempt_after_end",
    "close_idle_only",
    "ready_when_serving"};

/// What was done for one request, and what is known of its client. It lives as long as the request.
class RequestRecord {
 public:
  /// Whether the request may be repeated.
  struct Rule {
    Idempotency idempotency = Idempotency::idempotent;  ///< whether it may run more than once
    Seconds deduplication_window = 0;  ///< with an idempotency key: how long repeats are dropped
  };
  /// `expires` is the request's deadline as a point in time.
  RequestRecord(std::uint64_t id, Rule rule, Seconds expires) : id_(id), rule_(rule), expires_(expires) {}
  std::uint64_t id() const { return id_; }  ///< id of the request
  /// Whether an attempt may have had an effect that must not happen again.
  bool must_not_repeat() const {
    return may_have_run_at_ >= 0 && rule_.idempotency != Idempotency::idempotent;
  }
  void client_left() { client_left_ = true; }           ///< records that the client has left
  void purged(Seconds since) { valid_since_ = since; }  ///< records that copies made before are purged
  Seconds valid_since() const { return valid_since_; }  ///< copies made before are purged; 0: none are

 private:
  friend class Guard;
  std::uint64_t id_;
  Rule rule_;
  Seconds expires_;
  Seconds may_have_run_at_ = -1;  // start of the first attempt that may have run; < 0: none
  Seconds valid_since_ = 0;
  int in_flight_ = 0;
  bool client_left_ = false, answered_ = false;
};

/// An attempt that is about to be sent.
struct PlannedAttempt {
  EndpointState endpoint = EndpointState::gone, source = EndpointState::gone;  ///< state by discovery
  bool connection_ended = false;  ///< its connection is known to have ended
  Seconds deadline = 0;           ///< time allowed to the endpoint, a duration
  Seconds valid_since = 0;        ///< copies made before are purged, as known when it was decided
};

/// Checks steps against the invariants, and counts and reports violations.
class Guard {
 public:
  /// Receives each violation with the id of the request; 0 if it concerns no request.
  using Report = std::function<void(Invariant, std::uint64_t request)>;
  /// `report` may be empty.
  explicit Guard(Report report) : report_(std::move(report)) {}

  /// \name Checks
  /// Each returns Invariant::none, or the invariant that the step would break; then it must not be taken.
  /// @{

  /// Before an attempt is sent.
  Invariant may_begin(RequestRecord& request, const PlannedAttempt& attempt, Seconds now);
  /// Before a request is answered.
  Invariant may_answer(RequestRecord& request);
  /// Before a request is rejected, which tells the client that it did not run.
  Invariant may_reject(const RequestRecord& request);
  /// Before "not modified" is answered, from the ETag that the client has and the one that the endpoint
  /// named.
  Invariant may_answer_not_modified(const RequestRecord& request, std::string_view client_etag,
                                    std::string_view endpoint_etag);
  /// Before a request that was read from a connection is accepted.
  Invariant may_accept_request(bool connection_open);
  /// Before a client connection is closed for writing.
  Invariant may_half_close(std::size_t requests_open, std::size_t bytes_unsent);
  /// Before READY is reported.
  Invariant may_report_ready(bool list_read, bool serving);
  /// @}

  /// Records the end of an attempt that began at `began`. To be called once for each that may_begin()
  /// allowed.
  void attempt_ended(RequestRecord& request, AttemptOutcome outcome, Seconds began);

  /// Number of violations of one invariant.
  std::uint64_t violations(Invariant invariant) const {
    return violations_[static_cast<std::size_t>(invariant)];
  }
  std::uint64_t violations() const;                       ///< number of violations of all invariants
  Counters& counters() { return counters_; }              ///< counters of closes, attempts and requests
  const Counters& counters() const { return counters_; }  ///< counters of closes, attempts and requests

 private:
  Invariant record_violation(Invariant invariant, std::uint64_t request);
  Invariant check(const RequestRecord& request, const PlannedAttempt& attempt, Seconds now) const;

  const Report report_;
  Counters counters_;
  std::array<std::uint64_t, kInvariantNames.size()> violations_{};
};

}  // namespace walkpaddle::guard
