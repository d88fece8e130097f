#include "routing/outcome_evaluation.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "routing/admission.h"
#include "routing/retry.h"

namespace walkpaddle::routing {

namespace {

constexpr double kSendingMargin = 1.2;  // a known sending time, with the network's part

}  // namespace

OutcomeEvaluator::Evidence OutcomeEvaluator::evidence_of(RequestState& request, AttemptState& attempt,
                                                         const AttemptReport& report) {
  auto& endpoint = parts_.endpoints[attempt.endpoint];
  const auto fill = report.fill;
  const bool has_source = attempt.source >= 0 && attempt.source != attempt.endpoint;
  const bool hit = fill == FillOutcome::hit || fill == FillOutcome::stale_copy ||
                   (!has_source && endpoint.role == Role::cache);
  return {.request = request,
          .attempt = attempt,
          .report = report,
          .request_class = parts_.context.classes[static_cast<std::size_t>(request.request_class)],
          .endpoint = endpoint,
          .has_source = has_source,
          .hit = hit,
          .work = report.sending > 0 ? report.sending : parts_.service_times.work(request)};
}

void OutcomeEvaluator::evaluate(RequestState& request, AttemptState& attempt, const AttemptReport& report) {
  const bool served = report.outcome == AttemptOutcome::served;
  const auto& request_class = parts_.context.classes[static_cast<std::size_t>(request.request_class)];
  // Prevents big answers from looking late against the mean: limits were reduced to their floors for them.
  if (report.sending > 0 && served && !request_class.uncacheable) {
    auto& counter = parts_.counters.at(request.object, parts_.context.now);
    counter.kbytes = static_cast<float>(report.sending * parts_.context.fills.client_rate);
    parts_.service_times.record_sending(request.request_class, report.sending);
  }
  auto evidence = evidence_of(request, attempt, report);
  record_alive(evidence);
  if (served) {
    record_served(evidence);
  } else if (proves_failure(report.outcome)) {
    attempt.endpoint_failed = true;
    record_failed(evidence);
  }
  if (!proves_not_run(report.outcome) && !served && request.may_have_run_at >= kNever) {
    request.may_have_run_at = attempt.sent_at;
    request.may_have_run_on = attempt.endpoint;
  }
}

void OutcomeEvaluator::record_alive(const Evidence& e) {
  const auto fill = e.report.fill;
  if (proves_endpoint_alive(e.report.outcome)) parts_.outliers.record_answer(e.attempt.endpoint);
  if (!e.has_source || fill == FillOutcome::source_unreachable || fill == FillOutcome::no_fill_capacity)
    return;
  const bool source_answered =
      e.report.outcome == AttemptOutcome::served ? !e.hit : fill >= FillOutcome::source_rejected;
  if (source_answered) parts_.outliers.record_answer(e.attempt.source);
}

// ---- served ----------------------------------------------------------------------------------------------

void OutcomeEvaluator::record_served(Evidence& e) {
  record_recovery(e);
  parts_.service_times.record_latency(e.request, e.report.took);
  const bool is_cache = e.endpoint.role == Role::cache;
  parts_.slow_start.record_served(
      e.endpoint, is_cache ? parts_.service_times.mean_work(e.request.request_class) : e.work);
  estimate_lateness(e);
  record_times(e);
  record_limits(e);
  record_origin(e);
  if (e.has_source && !e.hit) record_source(e);
  record_copy(e);
}

void OutcomeEvaluator::record_recovery(const Evidence& e) {
  parts_.slow_start.grow_limit(e.endpoint, e.endpoint.attempts);
  parts_.slow_start.grow_limit(e.endpoint, e.endpoint.fills);
  const bool was_unreachable = std::exchange(e.endpoint.unreachable, false);
  if (was_unreachable && !parts_.slow_start.is_cold(e.endpoint))  // it may have restarted
    parts_.slow_start.restart(e.endpoint, parts_.context.now, parts_.service_times.mean_request(),
                              parts_.random);
  parts_.outliers.record_success(e.attempt.endpoint);
}

void OutcomeEvaluator::estimate_lateness(Evidence& e) const {
  // With neither sizes nor loads told, a late answer may be a big object's: it speaks less of congestion.
  constexpr double kUncertainLateness = 0.8;
  const Seconds took = e.report.took;
  const Seconds sending = e.report.sending;
  const Seconds objective = e.request_class.latency_objective;
  const bool size_or_load_known = e.request.kbytes > 0 || sending > 0 || e.endpoint.reported_load >= 0;
  // Past a known own time a wait is a queue: a quarter of the objective ends fast growth, twice the objective
  // is late.
  const Seconds stretch = e.request_class.latency_objective_stretch * e.work;
  const Seconds allowance = sending > 0 ? kSendingMargin * e.work + objective : stretch;
  if (took > objective + std::min(allowance, stretch))
    e.lateness = size_or_load_known ? 1 : kUncertainLateness;
  if (sending > 0 && took - kSendingMargin * sending < objective / 4)
    e.queueing = ConcurrencyLimit::Queueing::none;
}

// No queue is to be expected there.
bool OutcomeEvaluator::lightly_loaded(const Endpoint& endpoint) const {
  constexpr double kLightLoad = 0.7;
  constexpr double kLightInFlight = 3;
  return endpoint.reported_load >= 0 ? endpoint.reported_load < kLightLoad
                                     : endpoint.attempts.in_flight() < kLightInFlight;
}

void OutcomeEvaluator::record_times(const Evidence& e) {
  if (e.endpoint.role == Role::cache && e.has_source) parts_.fills.cache_misses.add(e.hit ? 0 : 1, true);
  if (e.request.size_from_client || e.report.sending > 0) return;
  if (e.hit) {
    const auto source =
        e.endpoint.reported_load >= 0 ? UnqueuedMean::Evidence::reported : UnqueuedMean::Evidence::inferred;
    parts_.service_times.record_sending(e.request.request_class, e.report.took, lightly_loaded(e.endpoint),
                                        source);
  }
  if (!e.request_class.uncacheable && lightly_loaded(e.endpoint)) estimate_size(e);
}

// With no sizes told, what a lightly_loaded cache took past the wait for its source stands for the size, for
// the parts to come: else one of ten big objects looks late on a lightly_loaded link, and limits stay at
// their floors.
void OutcomeEvaluator::estimate_size(const Evidence& e) {
  const bool link_is_uncongested = parts_.fills.link.late_share() < ConcurrencyLimit::kMaxLateShare / 2;
  if (!e.hit && (e.report.waited <= 0 || !link_is_uncongested)) return;
  auto& known = parts_.counters.at(e.request.object, parts_.context.now).kbytes;
  const auto kbytes =
      static_cast<float>((e.report.took - e.report.waited) * parts_.context.fills.client_rate);
  known = known > 0 ? std::min(known, kbytes) : kbytes;
}

void OutcomeEvaluator::record_limits(const Evidence& e) {
  const Seconds now = parts_.context.now;
  if (e.endpoint.role == Role::cache && e.hit) e.endpoint.attempts.record_answer(e.lateness, now, e.queueing);
  if (!e.hit) parts_.fills.link.record_answer(e.lateness, now, e.queueing);
  if (e.endpoint.role == Role::origin) e.endpoint.fills.record_answer(e.lateness, now, e.queueing);
}

void OutcomeEvaluator::record_origin(const Evidence& e) {
  if (e.attempt.origin < 0) return;
  const auto fill = e.report.fill;
  const bool from_origin = fill == FillOutcome::from_origin;
  if (fill != FillOutcome::filled && fill != FillOutcome::coalesced && !e.hit) {
    // Where the wait for the first byte is told, only that speaks of the origin.
    const double too_long = e.report.waited > e.request_class.latency_objective ? 1 : 0;
    const double lateness = from_origin && e.report.waited > 0 ? too_long : e.lateness;
    parts_.endpoints[e.attempt.origin].fills.record_answer(lateness, parts_.context.now, e.queueing);
  }
  if (fill == FillOutcome::filled || from_origin) parts_.fills.parent_misses.add(from_origin ? 1 : 0, true);
}

void OutcomeEvaluator::record_source(const Evidence& e) {
  const Seconds now = parts_.context.now;
  parts_.outliers.record_success(e.attempt.source);
  auto& source = parts_.endpoints[e.attempt.source];
  parts_.slow_start.record_served(source, e.work);
  source.fills.record_answer(e.lateness, now, e.queueing);
  e.endpoint.fills.record_answer(0, now, e.queueing);
  parts_.slow_start.grow_limit(source, source.fills);
}

void OutcomeEvaluator::record_copy(const Evidence& e) {
  const Seconds now = parts_.context.now;
  auto& counter = parts_.counters.at(e.request.object, now);
  // In a flow of parts, a copy found here or at a parent stands for a request that another router counted:
  // many routers would else pass popular flows through. Could harm where it is this router's own.
  const bool found = e.hit || e.report.fill != FillOutcome::none;
  if (e.request_class.in_parts && e.report.fill != FillOutcome::from_origin && found)
    counter.count = std::max<float>(counter.count, 2 * kForwardingThreshold);
  if (e.endpoint.role != Role::cache || e.request_class.uncacheable) return;
  if (!e.hit && !e.request.cache_fill) return;
  auto& copy = parts_.counters.at(e.request.copy, now);
  copy.cache = e.attempt.endpoint;
  copy.cached_at = now;
}

// ---- failed ----------------------------------------------------------------------------------------------

// The request's time was used up, so that the end says little.
bool OutcomeEvaluator::ended_at_deadline(const Evidence& e) const {
  constexpr Seconds kMargin = 0.02;
  return e.report.outcome == AttemptOutcome::timed_out && parts_.context.now > e.request.expires - kMargin;
}

// Whose fault a failed attempt is, by what its outcome and the report of its fill prove.
void OutcomeEvaluator::record_failed(const Evidence& e) {
  const auto outcome = e.report.outcome;
  const auto fill = e.report.fill;
  reduce_origin(e);
  if (fill >= FillOutcome::source_rejected) return record_source_failure(e);
  // The cache had just answered a probe; where nothing is told, its fill's error is the source's.
  if (outcome == AttemptOutcome::error && fill == FillOutcome::none && e.request.cache_probed &&
      e.has_source) {
    e.attempt.source_failed = true;
    e.attempt.endpoint_failed = false;
    return parts_.outliers.record_failure(e.attempt.source, OutlierDetector::Severity::soft);
  }
  if (outcome == AttemptOutcome::not_cached) return record_missing_copy(e);
  if (outcome == AttemptOutcome::rejected) return record_rejection(e);
  if (ended_at_deadline(e)) {
    const Seconds now = parts_.context.now;
    const bool uses_link = e.attempt.may_fill || e.endpoint.role != Role::cache;
    (uses_link ? parts_.fills.link : e.endpoint.attempts).record_lost(now);
    if (e.attempt.may_fill) parts_.endpoints[e.attempt.source].fills.record_lost(now);
    return;
  }
  if (outcome == AttemptOutcome::unreachable) mark_unreachable(e.endpoint);
  // A second endpoint that fails the same request speaks of the request: objects that no endpoint knows eject
  // none.
  if (outcome == AttemptOutcome::error && std::exchange(e.request.had_error, true)) return;
  // One broken connection proves little: a reset or a spoilt answer, where a death breaks many at once.
  const bool soft = outcome == AttemptOutcome::error || outcome == AttemptOutcome::connection_broken;
  parts_.outliers.record_failure(e.attempt.endpoint,
                                 soft ? OutlierDetector::Severity::soft : OutlierDetector::Severity::hard);
}

// An origin that rejects reduces this router's part of it; what waits for it in vain speaks where others are
// late.
void OutcomeEvaluator::reduce_origin(const Evidence& e) {
  const int origin = e.endpoint.role == Role::origin ? e.attempt.endpoint : e.attempt.origin;
  if (origin < 0) return;
  auto& fills = parts_.endpoints[origin].fills;
  if (ended_at_deadline(e)) return fills.record_lost(parts_.context.now);
  const bool unreported = e.attempt.origin >= 0 && e.report.fill == FillOutcome::none &&
                          e.report.outcome != AttemptOutcome::not_cached;
  if (e.report.fill == FillOutcome::origin_failed || e.report.outcome == AttemptOutcome::rejected ||
      unreported)
    fills.reduce(parts_.context.now);
}

void OutcomeEvaluator::record_source_failure(const Evidence& e) {
  const Seconds now = parts_.context.now;
  const auto fill = e.report.fill;
  e.attempt.source_failed = e.has_source && fill != FillOutcome::no_fill_capacity;
  e.attempt.endpoint_failed = !e.attempt.source_failed;  // else the cache is as good as before
  if (fill == FillOutcome::source_not_cached) forget_copy(e.request, e.attempt.source);
  if (fill == FillOutcome::source_rejected && e.has_source)
    parts_.endpoints[e.attempt.source].fills.reduce(now);
  if (fill == FillOutcome::source_unreachable && e.has_source)
    parts_.outliers.record_failure(e.attempt.source, OutlierDetector::Severity::soft);
  if (fill == FillOutcome::no_fill_capacity) e.endpoint.fills.reduce(now);
}

void OutcomeEvaluator::record_missing_copy(const Evidence& e) {
  if (!e.attempt.cached_only) {
    e.attempt.source_failed = false;
    e.attempt.endpoint_failed = e.has_source;
    return;
  }
  const auto source_role = parts_.endpoints[e.attempt.source].role;
  if (source_role == Role::parent) {
    e.request.missing_at_parent = true;
    e.request.cache_probed = true;
  }
  e.attempt.source_failed = source_role == Role::cache;
  e.attempt.endpoint_failed = false;  // it was only asked for what it holds
  forget_copy(e.request, e.attempt.source);
}

void OutcomeEvaluator::record_rejection(const Evidence& e) {
  const Seconds now = parts_.context.now;
  if (e.has_source && parts_.context.fills.reporting != FillReporting::all) {
    parts_.endpoints[e.attempt.source].fills.reduce(now);
    return;
  }
  e.endpoint.attempts.reduce(now);
  e.endpoint.fills.reduce(now);
}

// Nobody is there: it may start again at any moment, sooner than the list can tell, and is cold from then on.
// Prevents the trials of all routers at once, which pushed over what had just started.
void OutcomeEvaluator::mark_unreachable(Endpoint& endpoint) {
  endpoint.unreachable = true;
  if (!parts_.slow_start.is_cold(endpoint))
    parts_.slow_start.restart(endpoint, parts_.context.now, parts_.service_times.mean_request(),
                              parts_.random);
  endpoint.started = parts_.context.now;
}

void OutcomeEvaluator::forget_copy(const RequestState& request, int cache) {
  auto& entry = parts_.counters.at(request.copy, parts_.context.now);
  if (entry.cache == cache) entry.cache = -1;
}

}  // namespace walkpaddle::routing
