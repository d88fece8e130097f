#include "net/request_handler.h"

#include <algorithm>
#include <cmath>
#include <new>
#include <string>

#include "base/hash.h"

namespace walkpaddle::net {

namespace {

using RequestEnd = rollout::RequestOutcome;

// The time in whole milliseconds, rounded down but at least 1, because 0 has another meaning.
std::string whole_ms(Seconds time) {
  return std::to_string(std::max(1L, static_cast<long>(std::floor(time * 1e3))));
}

std::string_view flags_of(const Decision& decision) {
  if (decision.join_fill) return decision.cached_only ? "join+held" : "join";
  return decision.cached_only ? "held" : "";
}

std::string attempt_fields(const Request& request, const Decision& decision, const UpstreamPool& upstream) {
  std::string fields =
      "cls=" + request.class_name + ",item=" + request.object_text + ",chunk=" + request.part_text;
  if (!request.idempotency_key.empty()) fields += ",nonce=" + request.idempotency_key;
  if (decision.source >= 0 && decision.source != decision.endpoint)
    fields.append(",src=").append(upstream.id(decision.source));
  if (decision.retention_rank > 0) fields += ",keep=" + std::to_string(decision.retention_rank);
  if (decision.max_age > 0) fields += ",maxage=" + whole_ms(decision.max_age);
  if (const auto flags = flags_of(decision); !flags.empty()) fields.append(",flags=").append(flags);
  if (!request.etag.empty()) fields += ",have=" + request.etag;
  return fields;
}

bool is_shed(const Decision& decision) {
  return decision.kind == Decision::Kind::reject || decision.kind == Decision::Kind::fail;
}

// The state of one request. If it is destroyed before the request was answered, also because memory has run
// out, the client is told that the request failed.
class RequestTask {
 public:
  RequestTask(Scheduler& scheduler, Log& log, RequestDispatcher& dispatcher, UpstreamPool& upstream,
              ClientConnection& client, Request& request, double transfer_rate);
  RequestTask(const RequestTask&) = delete;
  RequestTask& operator=(const RequestTask&) = delete;
  ~RequestTask();

  RequestHandle& handle() { return handle_; }
  bool count_if_left();
  void shed(const Decision& decision);
  Attempt::Spec attempt_spec(const Decision& decision);
  void attempt_started(Attempt& attempt);
  bool attempt_ended(const Decision& decision, Attempt& attempt);  // true if the request was answered
  void close();                                                    // to be called after the answer

 private:
  void check_not_modified(int endpoint, AttemptResult& result);
  void check_copy(const Decision& decision, const Attempt& attempt, AttemptResult& result);
  AttemptOutcome evaluate_copy(const Attempt& attempt, const AttemptResult& result, Seconds max_age);
  void answer(const AttemptResult& result);
  void answer_too_late();
  bool may_answer() { return guard_.may_answer(handle_.record()) == guard::Invariant::none; }
  void count_end(RequestEnd end);

  Scheduler& scheduler_;
  Log& log_;
  RequestDispatcher& dispatcher_;
  UpstreamPool& upstream_;
  ClientConnection& client_;
  Request& request_;
  const double transfer_rate_;
  const std::uint64_t object_;
  guard::Guard& guard_;
  RequestHandle handle_;
  const Seconds received_at_;
  int attempts_ = 0;
  bool closed_ = false;
};

RequestTask::RequestTask(Scheduler& scheduler, Log& log, RequestDispatcher& dispatcher,
                         UpstreamPool& upstream, ClientConnection& client, Request& request,
                         double transfer_rate)
    : scheduler_(scheduler),
      log_(log),
      dispatcher_(dispatcher),
      upstream_(upstream),
      client_(client),
      request_(request),
      transfer_rate_(transfer_rate),
      object_(stable_hash(request.object_text)),
      guard_(dispatcher.guard()),
      handle_(dispatcher, request.class_index, object_, request.object_text, request.part, request.group,
              request.deadline, request.id),
      received_at_(scheduler.now()) {
  client_.add_request(request_.tag, handle_);
}

RequestTask::~RequestTask() {
  if (handle_.record().must_not_repeat()) request_.id_reservation.remember();
  if (closed_ || handle_.has_client_left()) return;
  try {
    if (may_answer()) client_.answer(request_.tag, "ABORTED");
  } catch (const std::bad_alloc&) {
    // Without memory for the answer the client sees its connection end or its time limit pass.
  }
  client_.remove_request(request_.tag);
}

void RequestTask::close() {
  client_.remove_request(request_.tag);
  closed_ = true;
}

bool RequestTask::count_if_left() {
  if (handle_.has_client_left()) ++guard_.counters().left;
  return handle_.has_client_left();
}

void RequestTask::count_end(RequestEnd end) {
  dispatcher_.request_ended(end, request_.class_index, scheduler_.now() - received_at_, attempts_);
}

void RequestTask::shed(const Decision& decision) {
  const bool rejected = decision.kind == Decision::Kind::reject &&
                        guard_.may_reject(handle_.record()) == guard::Invariant::none;
  log_("shed", "{}: {} after {} attempts: {}", request_.id_text, rejected ? "rejected" : "failed", attempts_,
       to_string(decision.reason));
  auto& counters = guard_.counters();
  ++(rejected ? counters.shed : counters.failed);
  if (may_answer()) {
    if (rejected)
      client_.answer(request_.tag, "REJECT", decision.time > 0 ? "later=" + whole_ms(decision.time) : "");
    else
      client_.answer(request_.tag, "ABORTED");
  }
  count_end(rejected ? RequestEnd::rejected : RequestEnd::failed);
}

// ---- Attempts. -----------------------------------------------------------------------------------------

Attempt::Spec RequestTask::attempt_spec(const Decision& decision) {
  const Seconds timeout_at =
      decision.time > 0 ? std::min(request_.deadline, scheduler_.now() + decision.time) : request_.deadline;
  return {.endpoint = decision.endpoint,
          .source = decision.source,
          .id = request_.id,
          .id_text = request_.id_text,
          .body = request_.body,
          .fields = attempt_fields(request_, decision, upstream_),
          .timeout_at = timeout_at,
          .start_by = decision.start_by > 0 ? decision.start_by : kNoTime,
          .is_final = timeout_at >= request_.deadline,
          .has_effect = request_.has_effect,
          .record = &handle_.record(),
          .copies_valid_since = handle_.valid_since(),
          .deadline = request_.deadline};
}

void RequestTask::attempt_started(Attempt& attempt) {
  handle_.set_attempt(&attempt);
  ++attempts_;
  if (attempts_ > 1) ++guard_.counters().retries;
}

// Turns a "not modified" answer into an error if it names another copy than the client's, or the client has
// none.
void RequestTask::check_not_modified(int endpoint, AttemptResult& result) {
  if (!result.not_modified) return;
  if (guard_.may_answer_not_modified(handle_.record(), request_.etag, result.etag) == guard::Invariant::none)
    return;
  log_("answer", "{}: still_good for copy '{}', but the client has '{}'", upstream_.id(endpoint), result.etag,
       request_.etag);
  result.outcome = AttemptOutcome::error;
  result.not_modified = false;
}

// Discards copies from before a purge. They come from attempts that were in flight when the purge arrived, or
// from a cache that confirmed the purge and still serves an old copy.
void RequestTask::check_copy(const Decision& decision, const Attempt& attempt, AttemptResult& result) {
  if (result.outcome != AttemptOutcome::served || dispatcher_.purges().replication() == nullptr ||
      request_.uncacheable)
    return;
  result.outcome = evaluate_copy(attempt, result, decision.max_age);
  if (result.outcome == AttemptOutcome::stale)
    log_("old", "{}: copy of {:.3f} s discarded, the limit is {:.3f} s", upstream_.id(decision.endpoint),
         result.age, decision.max_age);
}

// A reported age is counted back from the start of the attempt, so that a copy counts as old as it may be.
AttemptOutcome RequestTask::evaluate_copy(const Attempt& attempt, const AttemptResult& result,
                                          Seconds max_age) {
  constexpr Seconds kRounding = 0.002;  // both sides round to whole milliseconds, one up and the other down
  auto& purges = dispatcher_.purges();
  const Seconds now = scheduler_.now();
  const bool age_reported = result.age >= 0;
  if (result.tags_reported) purges.record_tags(object_, result.tags, now);
  if (age_reported && max_age > 0 && result.age > max_age + kRounding) return AttemptOutcome::stale;
  Seconds made_at = 0;
  if (age_reported)
    made_at = attempt.started_at() - result.age;
  else if (max_age > 0)
    made_at = attempt.started_at() - max_age;
  const bool purged =
      purges.is_stale(object_, request_.group, request_.object_text, result.tags, made_at, now);
  return purged ? AttemptOutcome::cancelled : AttemptOutcome::served;
}

void RequestTask::answer(const AttemptResult& result) {
  std::string fields;
  if (!result.etag.empty()) fields = "etag=" + result.etag;
  if (result.not_modified) fields += fields.empty() ? "notmod=1" : ",notmod=1";
  client_.answer(request_.tag, "RESULT", fields, result.not_modified ? std::string_view() : result.body);
}

// The client could not read the answer in time. What is given up is told it at once, as a failure: the
// request has run.
void RequestTask::answer_too_late() {
  log_("shed", "{}: failed, its client reads too slowly", request_.id_text);
  if (may_answer()) client_.answer(request_.tag, "ABORTED");
}

bool RequestTask::attempt_ended(const Decision& decision, Attempt& attempt) {
  auto& result = attempt.result();
  check_not_modified(decision.endpoint, result);
  check_copy(decision, attempt, result);
  const bool served = result.outcome == AttemptOutcome::served && !handle_.has_client_left();
  const Seconds duration = scheduler_.now() - attempt.started_at() - result.memory_wait;
  const auto size = static_cast<double>(result.body.size());
  const bool in_time = served && !client_.answer_is_late(result.body.size(), request_.deadline);
  if (in_time && may_answer()) answer(result);
  if (served && !in_time) answer_too_late();
  if (!served && !handle_.has_client_left())
    log_("attempt", "{}: attempt {} of {:.3f} s at {} ended as {}", request_.id_text, attempts_, duration,
         upstream_.id(decision.endpoint), to_string(result.outcome));
  const Seconds transfer_time = transfer_rate_ > 0 ? size / transfer_rate_ : 0;
  dispatcher_.load_reported(decision.endpoint, result.report.load);
  dispatcher_.attempt_counted(result.outcome, result.fill);
  handle_.attempt_ended(result.outcome, result.fill, duration, result.report.fill_wait, transfer_time,
                        served || handle_.has_client_left());
  if (!served) return false;
  ++(in_time ? guard_.counters().served : guard_.counters().failed);
  count_end(in_time ? RequestEnd::served : RequestEnd::failed);
  return true;
}

}  // namespace

Task serve(Scheduler& scheduler, Log& log, RequestDispatcher& dispatcher, UpstreamPool& upstream,
           std::shared_ptr<ClientConnection> client, Request request, double transfer_rate) {
  RequestTask task(scheduler, log, dispatcher, upstream, *client, request, transfer_rate);
  for (;;) {
    co_await task.handle().decision_made();
    if (task.count_if_left()) co_return;
    const auto decision = task.handle().take_decision();
    if (!decision) continue;
    if (is_shed(*decision)) {
      task.shed(*decision);
      break;
    }
    Attempt attempt(scheduler, upstream, task.attempt_spec(*decision));
    task.attempt_started(attempt);
    while (!attempt.ended()) {
      const bool changed = co_await attempt.wait();
      if (!changed) attempt.on_timer();
      if (attempt.awaits_memory()) task.handle().answer_delayed();
    }
    if (task.attempt_ended(*decision, attempt)) break;
    if (task.count_if_left()) co_return;
  }
  task.close();
}

}  // namespace walkpaddle::net
