// The last check before a step that cannot be undone: sending an attempt, answering, closing, saying READY.
// The policy decides what is done; the guard knows only what was done and told, and refuses what would break
// a promise (docs/promises.md). A refusal is the sign of a fault elsewhere: it is counted by invariant and
// reported with the request's id, and the step is not taken. No I/O.
//
// Times: seconds on the router's monotonic clock.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

#include "guard/counters.h"
#include "routing/policy.h"

namespace walkpaddle::guard {

enum class Invariant {
  none,  // kept: the step may be taken
  answer_once,
  refusal_harmless,
  effect_once,
  one_attempt_out,
  attempt_after_leave,
  deadline_passed,
  drain_kept,
  purge_kept,
  copy_named,
  attempt_after_end,
  close_idle_only,
  ready_when_serving,
  count
};
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

// What has been done for one request, and what is known of its client. It lives as long as the request.
class RequestRecord {
 public:
  struct Rule {
    Idempotency idempotency = Idempotency::idempotent;
    Seconds deduplication_window = 0;  // of a keyed idempotency: how long repeats of it are dropped
  };
  RequestRecord(std::uint64_t id, Rule rule, Seconds expires) : id_(id), rule_(rule), expires_(expires) {}
  std::uint64_t id() const { return id_; }
  void client_left() { client_left_ = true; }
  void purged(Seconds since) { valid_since_ = since; }  // copies made before are purged
  Seconds valid_since() const { return valid_since_; }

 private:
  friend class Guard;
  std::uint64_t id_;
  Rule rule_;
  Seconds expires_;
  Seconds may_have_run_at_ = -1;  // when the first attempt began that may have run
  Seconds valid_since_ = 0;
  int in_flight_ = 0;
  bool client_left_ = false, answered_ = false;
};

// Of an attempt that is about to be written.
struct PlannedAttempt {
  EndpointState endpoint = EndpointState::gone, source = EndpointState::gone;  // as discovery last told them
  bool connection_ended = false;                                               // as far as is known
  Seconds deadline = 0;                                                        // the span that is passed on
  Seconds valid_since = 0;  // the purges that it was decided with
};

class Guard {
 public:
  using Report = std::function<void(Invariant, std::uint64_t request)>;
  explicit Guard(Report report) : report_(std::move(report)) {}

  // Each gives Invariant::none, or what the step would break; then it must not be taken.
  Invariant may_begin(RequestRecord& request, const PlannedAttempt& attempt, Seconds now);
  Invariant may_answer(RequestRecord& request);
  Invariant may_reject(const RequestRecord& request);  // to answer with the promise that nothing ran
  Invariant may_answer_not_modified(const RequestRecord& request, std::string_view client_etag,
                                    std::string_view endpoint_etag);
  Invariant may_accept_request(bool connection_open);  // a request that was read
  Invariant may_half_close(std::size_t requests_open, std::size_t bytes_unsent);
  Invariant may_report_ready(bool list_read, bool serving);

  // Every attempt that may_begin() let pass ends once.
  void attempt_ended(RequestRecord& request, AttemptOutcome outcome, Seconds began);

  std::uint64_t violations(Invariant invariant) const {
    return violations_[static_cast<std::size_t>(invariant)];
  }
  std::uint64_t violations() const;
  Counters& counters() { return counters_; }
  const Counters& counters() const { return counters_; }

 private:
  Invariant record_violation(Invariant invariant, std::uint64_t request);
  Invariant check(const RequestRecord& request, const PlannedAttempt& attempt, Seconds now) const;

  const Report report_;
  Counters counters_;
  std::array<std::uint64_t, kInvariantNames.size()> violations_{};
};

}  // namespace walkpaddle::guard
