#include "net/request_handler.h"

#include <algorithm>
#include <cmath>
#include <new>

namespace walkpaddle::net {

namespace {

// Down to whole milliseconds; never 0, which means something else.
std::string whole_ms(Seconds time) {
  return std::to_string(std::max(1L, static_cast<long>(std::floor(time * 1e3))));
}

std::string fields_of(const Request& o, const Decision& d, const UpstreamPool& caches) {
  std::string f = "cls=" + o.rule_name + ",item=" + o.object_text + ",chunk=" + o.part_text;
  if (!o.key.empty()) f += ",nonce=" + o.key;
  if (d.source >= 0 && d.source != d.endpoint) f.append(",src=").append(caches.id(d.source));
  if (d.retention_rank > 0) f += ",keep=" + std::to_string(d.retention_rank);
  if (d.max_age > 0) f += ",maxage=" + whole_ms(d.max_age);
  if (d.join_fill || d.cached_only)
    f.append(",flags=").append(d.join_fill ? d.cached_only ? "join+held" : "join" : "held");
  if (!o.etag.empty()) f += ",have=" + o.etag;
  return f;
}

void give(ClientConnection& client, const Request& o, const AttemptResult& end) {
  std::string fields = end.etag.empty() ? "" : "etag=" + end.etag;
  if (end.not_modified) fields += fields.empty() ? "notmod=1" : ",notmod=1";
  client.answer(o.tag, "RESULT", fields, end.not_modified ? std::string_view() : end.body);
}

constexpr std::string_view kVerdicts[] = {"completed",     "error",  "not_taken",  "timed_out",
                                          "no_connection", "broken", "called_off", "not_sent",
                                          "lacking",       "too_old"};
constexpr std::string_view kSheds[] = {"none", "no_time", "attempts_used", "may_not_repeat", "no_room"};

// What a completed hop comes to once the purges of now are held against its copy. Where the age is told it is
// the sending that it is counted back from: a copy is taken for as old as it may be.
AttemptOutcome checked(purge::PurgeRegistry& purges, const Request& o, std::uint64_t object,
                       const Attempt& hop, const AttemptResult& end, Seconds allowed, Seconds now) {
  constexpr Seconds kRounding = 0.002;  // whole milliseconds, up at one side and down at the other
  if (end.tags_reported) purges.learn_tags(object, end.tags, now);
  const Seconds made = end.age >= 0  ? hop.started_at() - end.age
                       : allowed > 0 ? hop.started_at() - allowed
                                     : 0;
  if (end.age >= 0 && allowed > 0 && end.age > allowed + kRounding) return AttemptOutcome::stale;
  return purges.is_stale(object, o.group, o.object_text, end.tags, made, now) ? AttemptOutcome::cancelled
                                                                              : AttemptOutcome::served;
}

}  // namespace

Task serve(Scheduler& scheduler, Log& log, RequestDispatcher& dispatcher, UpstreamPool& caches,
           std::shared_ptr<ClientConnection> client, Request order, double bytes_a_second) {
  const auto object = stable_hash(order.object_text);
  RequestHandle handle(dispatcher, order.rule, object, order.object_text, order.part, order.group,
                       order.expires, order.id);
  auto& guard = dispatcher.guard();
  auto& counters = guard.counters();
  client->opened(order.tag, handle);
  // However this task ends, its request gets its answer: also where memory runs out midway.
  struct Owed {
    ClientConnection& client;
    const Request& order;
    RequestHandle& handle;
    guard::Guard& guard;
    bool answered = false;
    ~Owed() {
      if (answered || handle.left()) return;
      try {
        if (guard.may_answer(handle.record()) == guard::Invariant::none) client.answer(order.tag, "ABORTED");
      } catch (const std::bad_alloc&) {
        // Not even room for a word: the client sees its connection's end or its own limit.
      }
      client.over(order.tag);
    }
  } owed{*client, order, handle, guard};
  using End = change::Tally::End;
  const Seconds taken = scheduler.now();
  int hops = 0;
  const auto ended = [&](End end) { dispatcher.txn_ended(end, order.rule, scheduler.now() - taken, hops); };
  for (;;) {
    co_await handle.timer_fired();
    if (handle.left()) {
      ++counters.left;
      co_return;
    }
    const auto d = handle.decision();
    if (!d) continue;
    if (d->kind == Decision::Kind::reject || d->kind == Decision::Kind::fail) {
      const bool refused =
          d->kind == Decision::Kind::reject && guard.may_refuse(handle.record()) == guard::Invariant::none;
      log("shed", "{}: {} after {} attempts: {}", order.id_text, refused ? "refused" : "failed", hops,
          kSheds[static_cast<std::size_t>(d->reason)]);
      ++(refused ? counters.shed : counters.failed);
      if (guard.may_answer(handle.record()) == guard::Invariant::none) {
        if (refused)
          client->answer(order.tag, "REJECT", d->time > 0 ? "later=" + whole_ms(d->time) : "");
        else
          client->answer(order.tag, "ABORTED");
      }
      ended(refused ? End::rejected : End::aborted);
      break;
    }
    const Seconds until = d->time > 0 ? std::min(order.expires, scheduler.now() + d->time) : order.expires;
    Attempt hop(scheduler, caches,
                {d->endpoint, d->source, order.id, order.id_text, order.body, fields_of(order, *d, caches),
                 until, d->start_by > 0 ? d->start_by : kNoTime, until >= order.expires, order.effect,
                 &handle.record(), handle.since()});
    handle.hop_out(&hop);
    if (++hops > 1) ++counters.retries;
    while (!hop.ended()) {
      const bool told = co_await hop.wait();
      if (!told) hop.on_timer();
    }
    auto& end = hop.result();
    // Guards against a copy that is called current though the server named another, or the client has none.
    if (end.not_modified &&
        guard.may_call_current(handle.record(), order.etag, end.etag) != guard::Invariant::none) {
      log("answer", "{}: still_good for '{}' where the client has '{}'", caches.id(d->endpoint), end.etag,
          order.etag);
      end.outcome = AttemptOutcome::error, end.not_modified = false;
    }
    // A hop under way when a purge came, or a cache that confirmed and answers old all the same: not this
    // answer.
    if (end.outcome == AttemptOutcome::served && dispatcher.purges().replication() != nullptr &&
        !order.uncacheable) {
      end.outcome = checked(dispatcher.purges(), order, object, hop, end, d->max_age, scheduler.now());
      if (end.outcome == AttemptOutcome::stale)
        log("old", "{}: a copy of {:.3f} s where {:.3f} s were allowed; set aside", caches.id(d->endpoint),
            end.age, d->max_age);
    }
    const bool completed = end.outcome == AttemptOutcome::served && !handle.left();
    const auto size = end.body.size();
    if (completed && guard.may_answer(handle.record()) == guard::Invariant::none) give(*client, order, end);
    if (!completed && !handle.left())
      log("attempt", "{}: {} of {:.3f} s at {} ended {}", order.id_text, hops,
          scheduler.now() - hop.started_at(), caches.id(d->endpoint),
          kVerdicts[static_cast<std::size_t>(end.outcome)]);
    const Seconds sending = bytes_a_second > 0 ? static_cast<double>(size) / bytes_a_second : 0;
    dispatcher.load_reported(d->endpoint, end.report.load);
    dispatcher.hop_counted(end.outcome, end.fill);
    handle.attempt_ended(end.outcome, end.fill, scheduler.now() - hop.started_at(), end.report.fill_wait,
                         sending, completed || handle.left());
    if (handle.left()) {
      ++counters.left;
      co_return;
    }
    if (completed) {
      ++counters.served;
      ended(End::completed);
      break;
    }
  }
  client->over(order.tag);
  owed.answered = true;
}

}  // namespace walkpaddle::net
