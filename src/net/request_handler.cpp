#include "net/request_handler.h"

#include <algorithm>
#include <cmath>
#include <new>
#include <string>

#include "base/hash.h"

namespace walkpaddle::net {

namespace {

using RequestEnd = rollout::RequestOutcome;

// Down to whole milliseconds; never 0, which means something else.
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

// One request in its task. Destroyed before it was answered, it is answered as failed: also where memory runs
// out midway.
class RequestTask {
 public:
  RequestTask(Scheduler& scheduler, Log& log, RequestDispatcher& dispatcher, UpstreamPool& upstream,
              ClientConnection& client, const Request& request, double transfer_rate);
  RequestTask(const RequestTask&) = delete;
  RequestTask& operator=(const RequestTask&) = delete;
  ~RequestTask();

  RequestHandle& handle() { return handle_; }
  bool count_if_left();
  void shed(const Decision& decision);
  Attempt::Spec attempt_spec(const Decision& decision);
  void attempt_started(Attempt& attempt);
  bool attempt_ended(const Decision& decision, Attempt& attempt);  // true: it is answered
  void close();                                                    // after its answer

 private:
  void check_not_modified(int endpoint, AttemptResult& result);
  void check_copy(const Decision& decision, const Attempt& attempt, AttemptResult& result);
  AttemptOutcome judge_copy(const Attempt& attempt, const AttemptResult& result, Seconds max_age);
  void answer(const AttemptResult& result);
  bool may_answer() { return guard_.may_answer(handle_.record()) == guard::Invariant::none; }
  void count_end(RequestEnd end);

  Scheduler& scheduler_;
  Log& log_;
  RequestDispatcher& dispatcher_;
  UpstreamPool& upstream_;
  ClientConnection& client_;
  const Request& request_;
  const double transfer_rate_;
  const std::uint64_t object_;
  guard::Guard& guard_;
  RequestHandle handle_;
  const Seconds received_at_;
  int attempts_ = 0;
  bool closed_ = false;
};

RequestTask::RequestTask(Scheduler& scheduler, Log& log, RequestDispatcher& dispatcher,
                         UpstreamPool& upstream, ClientConnection& client, const Request& request,
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
  client_.opened(request_.tag, handle_);
}

RequestTask::~RequestTask() {
  if (closed_ || handle_.left()) return;
  try {
    if (may_answer()) client_.answer(request_.tag, "ABORTED");
  } catch (const std::bad_alloc&) {
    // Not even memory for one word: the client sees its connection's end or its own limit.
  }
  client_.over(request_.tag);
}

void RequestTask::close() {
  client_.over(request_.tag);
  closed_ = true;
}

bool RequestTask::count_if_left() {
  if (handle_.left()) ++guard_.counters().left;
  return handle_.left();
}

void RequestTask::count_end(RequestEnd end) {
  dispatcher_.request_ended(end, request_.class_index, scheduler_.now() - received_at_, attempts_);
}

void RequestTask::shed(const Decision& decision) {
  const bool rejected = decision.kind == Decision::Kind::reject &&
                        guard_.may_refuse(handle_.record()) == guard::Invariant::none;
  log_("shed", "{}: {} after {} attempts: {}", request_.id_text, rejected ? "refused" : "failed", attempts_,
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
          .copies_valid_since = handle_.valid_since()};
}

void RequestTask::attempt_started(Attempt& attempt) {
  handle_.set_attempt(&attempt);
  ++attempts_;
  if (attempts_ > 1) ++guard_.counters().retries;
}

// Prevents a copy from being called current though the server named another, or the client has none.
void RequestTask::check_not_modified(int endpoint, AttemptResult& result) {
  if (!result.not_modified) return;
  if (guard_.may_call_current(handle_.record(), request_.etag, result.etag) == guard::Invariant::none) return;
  log_("answer", "{}: still_good for '{}' where the client has '{}'", upstream_.id(endpoint), result.etag,
       request_.etag);
  result.outcome = AttemptOutcome::error;
  result.not_modified = false;
}

// Prevents an answer from before a purge: of an attempt that was under way as it came, or of a cache that
// confirmed it and answers old all the same.
void RequestTask::check_copy(const Decision& decision, const Attempt& attempt, AttemptResult& result) {
  if (result.outcome != AttemptOutcome::served || dispatcher_.purges().replication() == nullptr ||
      request_.uncacheable)
    return;
  result.outcome = judge_copy(attempt, result, decision.max_age);
  if (result.outcome == AttemptOutcome::stale)
    log_("old", "{}: a copy of {:.3f} s where {:.3f} s were allowed; set aside",
         upstream_.id(decision.endpoint), result.age, decision.max_age);
}

// Where the age is told it is the sending that it is counted back from: a copy is taken for as old as it may
// be.
AttemptOutcome RequestTask::judge_copy(const Attempt& attempt, const AttemptResult& result, Seconds max_age) {
  constexpr Seconds kRounding = 0.002;  // whole milliseconds, up at one side and down at the other
  auto& purges = dispatcher_.purges();
  const Seconds now = scheduler_.now();
  const bool age_told = result.age >= 0;
  if (result.tags_reported) purges.record_tags(object_, result.tags, now);
  if (age_told && max_age > 0 && result.age > max_age + kRounding) return AttemptOutcome::stale;
  Seconds made_at = 0;
  if (age_told)
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

bool RequestTask::attempt_ended(const Decision& decision, Attempt& attempt) {
  auto& result = attempt.result();
  check_not_modified(decision.endpoint, result);
  check_copy(decision, attempt, result);
  const bool served = result.outcome == AttemptOutcome::served && !handle_.left();
  const Seconds took = scheduler_.now() - attempt.started_at();
  const auto size = static_cast<double>(result.body.size());
  if (served && may_answer()) answer(result);
  if (!served && !handle_.left())
    log_("attempt", "{}: {} of {:.3f} s at {} ended {}", request_.id_text, attempts_, took,
         upstream_.id(decision.endpoint), to_string(result.outcome));
  const Seconds transfer_time = transfer_rate_ > 0 ? size / transfer_rate_ : 0;
  dispatcher_.load_reported(decision.endpoint, result.report.load);
  dispatcher_.attempt_counted(result.outcome, result.fill);
  handle_.attempt_ended(result.outcome, result.fill, took, result.report.fill_wait, transfer_time,
                        served || handle_.left());
  if (!served) return false;
  ++guard_.counters().served;
  count_end(RequestEnd::served);
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
      const bool woken = co_await attempt.wait();
      if (!woken) attempt.on_timer();
    }
    if (task.attempt_ended(*decision, attempt)) break;
    if (task.count_if_left()) co_return;
  }
  task.close();
}

}  // namespace walkpaddle::net
