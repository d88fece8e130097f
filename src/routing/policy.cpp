// The routing policy: connects its parts and defines the order of checks. By default (docs/design.md),
// reference counters decide whether a fill is cached, and rendezvous hashing picks the cache and the parent.
// Each kind of exception is a module of its own: concurrency limits, outlier detection, slow start, retries,
// freshness under purges, admission and load shedding.
#include "routing/policy.h"

#include <algorithm>
#include <cstddef>
#include <random>
#include <utility>

#include "routing/admission.h"
#include "routing/attempt_accounting.h"
#include "routing/context.h"
#include "routing/endpoint_table.h"
#include "routing/freshness.h"
#include "routing/outcome_evaluation.h"
#include "routing/outlier_detection.h"
#include "routing/reference_counter.h"
#include "routing/retry.h"
#include "routing/route_selection.h"
#include "routing/service_time.h"
#include "routing/slow_start.h"
#include "routing/stuck_attempts.h"
#include "routing/warm_start.h"

namespace walkpaddle {

namespace routing {

namespace {

constexpr int kLowestRank = 1;
constexpr int kMiddleRank = 2;

// Each part of an object is ranked among the caches and cached separately, which spreads the load of a
// popular object.
std::uint64_t copy_key(std::uint64_t object, int part) {
  constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15u;
  return object ^ (static_cast<std::uint64_t>(part) * kGoldenRatio);
}

class Policy final : public RoutingPolicy {
 public:
  explicit Policy(std::uint32_t seed);

  void set_placement(const RouterPlacement& placement) override;
  void set_roles(const EndpointRoles& roles) override { context_.roles = roles; }
  void add_request_class(const RequestClass& request_class) override;
  void set_retries(const RetrySettings& retries) override { context_.retries = retries; }
  void set_fills(const FillSettings& fills) override { context_.fills = fills; }
  void set_slow_start(const SlowStartSettings& caches, const SlowStartSettings& parents) override {
    slow_start_.set(caches, parents);
  }
  void set_weights_are_transfers(bool weights_are_transfers) override {
    context_.weights_are_transfers = weights_are_transfers;
  }
  void set_client_settings(const ClientSettings& clients) override { context_.clients = clients; }
  void set_discovery_polling(bool must_poll) override { context_.polls_discovery = must_poll; }

  WarmStartSnapshot snapshot() const override { return take_snapshot(warm_start_state_); }
  void restore_snapshot(const WarmStartSnapshot& snapshot) override {
    routing::restore_snapshot(warm_start_state_, snapshot, random_);
  }
  Ejections ejections() const override { return outliers_.ejections(); }

  void clock(Seconds now) override { context_.now = now; }
  void begin_endpoint_list(bool complete) override { endpoints_.begin_list(complete); }
  void update_endpoint(int endpoint, std::uint64_t hash, int location, int kind, int cell,
                       EndpointState state, double weight, Seconds started) override;
  void end_endpoint_list() override { endpoints_.end_list(); }
  void endpoint_list_failed() override;
  void request_received(int request, int request_class, std::uint64_t object, int part, std::uint32_t group,
                        double kbytes, Seconds expires, bool is_retry) override;
  void set_represented_requests(int request, double in_flight, double requests) override;
  void client_left(int request) override;
  void load_reported(int endpoint, double busy) override;
  void answer_delayed(int request, int attempt) override;
  void attempt_ended(int request, int attempt, AttemptOutcome outcome, FillOutcome fill, Seconds took,
                     Seconds waited, Seconds sending, bool request_over) override;
  void set_valid_since(int request, Seconds valid_since) override { at(request).valid_since = valid_since; }
  void set_max_copy_age(Seconds age) override { max_copy_age_ = age; }
  void timer_fired() override;

  std::optional<Decision> next() override;

 private:
  RequestState& at(int request) { return requests_[static_cast<std::size_t>(request)]; }
  const RequestClass& class_of(const RequestState& request) const {
    return context_.classes[static_cast<std::size_t>(request.request_class)];
  }

  void count_reference(RequestState& request, int part, bool is_retry);
  void expect_retry(const RequestState& request);
  static void close(RequestState& request);
  void shed(int index, ShedReason reason);

  void decide(int index);
  ShedReason reason_to_shed(const RequestState& request) const;
  bool may_go_to(const RequestState& request, int endpoint) const;
  void forward(int index, const Route& route);
  int retention_rank(const RequestState& request, const Route& route) const;

  void tick();
  std::optional<Decision> take_decision();

  std::mt19937 random_;
  PolicyContext context_;
  EndpointTable endpoints_;
  OutlierDetector outliers_;
  SlowStart slow_start_;
  ServiceTimes service_times_;
  ReferenceCounters counters_;
  FillEstimates fills_;
  std::vector<RequestState> requests_;
  AttemptAccounting accounting_;
  RouteSelector routes_;
  OutcomeEvaluator outcomes_;
  AdmissionQueue queue_;
  StuckAttempts stuck_attempts_;
  WarmStartState warm_start_state_;
  std::vector<Decision> decisions_;
  std::size_t next_decision_ = 0;
  Seconds wake_up_at_ = kNever;  // time of the last wake_up decision
  Seconds tick_at_ = 0;
  Seconds halve_at_ = 0;
  Seconds poll_at_ = 0;
  Seconds max_copy_age_ = 0;  // of any object; 0: unlimited
};

Policy::Policy(std::uint32_t seed)
    : random_(seed),
      endpoints_(context_),
      outliers_(context_, endpoints_),
      slow_start_(context_, endpoints_),
      service_times_(context_),
      accounting_({context_, endpoints_, slow_start_, service_times_, fills_, counters_}),
      routes_({context_, endpoints_, outliers_, slow_start_, service_times_, fills_, counters_}),
      outcomes_({context_, endpoints_, outliers_, slow_start_, service_times_, fills_, counters_, random_}),
      queue_(context_, requests_, service_times_),
      stuck_attempts_({context_, endpoints_, outliers_, service_times_, requests_}),
      warm_start_state_{context_, endpoints_, slow_start_, service_times_, fills_, counters_} {}

// ---- Settings and endpoints ------------------------------------------------------------------------------

void Policy::set_placement(const RouterPlacement& placement) {
  context_.placement = placement;
  fills_.link.divide_among(placement.routers_in_location);
}

void Policy::add_request_class(const RequestClass& request_class) {
  context_.classes.push_back(request_class);
  service_times_.add_class(request_class);
}

void Policy::update_endpoint(int endpoint, std::uint64_t hash, int location, int kind, int cell,
                             EndpointState state, double weight, Seconds started) {
  constexpr Seconds kStartTolerance = 1e-3;
  const auto change = endpoints_.update(endpoint, {hash, location, kind, cell, state, weight});
  if (change == EndpointTable::Change::gone) return;
  auto& updated = endpoints_[endpoint];
  const bool new_start = started > updated.started + kStartTolerance && started > 0;
  // An endpoint that returns without a new start time is treated as just started.
  const bool returned = change == EndpointTable::Change::returned && !slow_start_.is_cold(updated);
  if (!new_start && !returned) return;
  slow_start_.restart(updated, new_start ? started : context_.now, service_times_.mean_request(), random_);
}

void Policy::endpoint_list_failed() {
  constexpr Seconds kPollRetryDelay = 1;
  poll_at_ = context_.now + kPollRetryDelay;
}

void Policy::load_reported(int endpoint, double busy) {
  endpoints_.find_or_add(endpoint).reported_load = busy;
}

// ---- Requests --------------------------------------------------------------------------------------------

void Policy::request_received(int request, int request_class, std::uint64_t object, int part,
                              std::uint32_t group, double kbytes, Seconds expires, bool is_retry) {
  if (request >= static_cast<int>(requests_.size())) requests_.resize(static_cast<std::size_t>(request) + 1);
  queue_.cancel_wake_up(request);
  auto& received = at(request);
  received = {.open = true,
              .size_from_client = kbytes > 0,
              .request_class = request_class,
              .object = object,
              .copy = copy_key(object, part),
              .group = group,
              .kbytes = kbytes,
              .received_at = context_.now,
              .expires = expires};
  if (kbytes > 0 && context_.fills.client_rate > 0)
    service_times_.record_sending(request_class, kbytes / context_.fills.client_rate);
  if (!class_of(received).uncacheable) count_reference(received, part, is_retry);
  queue_.request_decision(request);
}

void Policy::count_reference(RequestState& request, int part, bool is_retry) {
  auto& counter = counters_.at(request.object, context_.now);
  if (request.kbytes <= 0) request.kbytes = counter.kbytes;
  service_times_.record_request(request);
  if (is_retry || (!context_.clients.marks_retries && counter.retry_expected(context_.now)))
    counter.count_retry();
  else if (part == 0)
    counter.count += 1;
  request.cache_fill = counter.count > kForwardingThreshold;
}

void Policy::set_represented_requests(int request, double in_flight, double requests) {
  at(request).represented_in_flight = in_flight;
  at(request).represented_requests = requests;
}

void Policy::answer_delayed(int request, int attempt) {
  at(request).attempts[static_cast<std::size_t>(attempt)].delayed_until = context_.now;
}

void Policy::client_left(int request) {
  if (at(request).open) expect_retry(at(request));
  close(at(request));
}

void Policy::expect_retry(const RequestState& request) {
  if (!class_of(request).uncacheable) counters_.at(request.object, context_.now).expect_retry(context_.now);
}

void Policy::close(RequestState& request) {
  request.open = false;
  request.awaits_decision = false;
}

void Policy::shed(int index, ShedReason reason) {
  auto& request = at(index);
  expect_retry(request);
  const bool rejectable = may_reject(request, class_of(request));
  decisions_.push_back({.kind = rejectable ? Decision::Kind::reject : Decision::Kind::fail,
                        .request = index,
                        .time = retry_after(context_.clients),
                        .reason = reason});
  close(request);
}

// ---- Decisions -------------------------------------------------------------------------------------------

ShedReason Policy::reason_to_shed(const RequestState& request) const {
  if (context_.now > request.expires - kMinAttemptDuration) return ShedReason::deadline_exceeded;
  if (static_cast<int>(request.attempts.size()) >= context_.retries.max_attempts)
    return ShedReason::attempts_used;
  if (!may_retry(request, class_of(request), context_.now)) return ShedReason::not_idempotent;
  return ShedReason::none;
}

bool Policy::may_go_to(const RequestState& request, int endpoint) const {
  if (endpoint < 0) return false;
  if (request.may_have_run_on < 0) return true;
  return repeat_is_dropped(request, class_of(request), endpoints_[request.may_have_run_on],
                           endpoints_[endpoint]);
}

void Policy::decide(int index) {
  auto& request = at(index);
  request.awaits_decision = false;
  if (!request.open || request.in_flight > 0) return;
  if (const auto reason = reason_to_shed(request); reason != ShedReason::none) return shed(index, reason);
  const auto& request_class = class_of(request);
  const Route route =
      request_class.uncacheable ? routes_.select_uncacheable(request) : routes_.select(request);
  if (may_go_to(request, route.endpoint)) return forward(index, route);
  const Seconds deadline = capacity_deadline(request, request_class, service_times_);
  if (context_.now >= deadline) return shed(index, ShedReason::no_capacity);
  queue_.wait_for_capacity(index, deadline);
}

// A fill is not cached until the reference counter exceeds the threshold. Where several routers serve the
// location, the first request at one of them is usually not the first in the location, so its fill is cached
// at the rank that is evicted first. At or below the threshold a probe, which causes no fill, has rank 0.
int Policy::retention_rank(const RequestState& request, const Route& route) const {
  if (request.cache_fill) return kMiddleRank;
  return context_.placement.routers_in_location > 1 && route.source != route.endpoint ? kLowestRank : 0;
}

void Policy::forward(int index, const Route& route) {
  auto& request = at(index);
  const auto& request_class = class_of(request);
  const bool to_cache = endpoints_[route.endpoint].role == Role::cache;
  const auto attempt = accounting_.begin(request, route);
  Decision decision{.kind = Decision::Kind::forward,
                    .request = index,
                    .endpoint = route.endpoint,
                    .source = route.source,
                    .cached_only = route.cached_only};
  if (!request_class.uncacheable) {
    const auto failed = [](const AttemptState& earlier) {
      return earlier.endpoint_failed || earlier.source_failed;
    };
    if (to_cache) decision.retention_rank = retention_rank(request, route);
    // After a failure, the fill that an attempt would wait for may be lost as well.
    decision.join_fill = context_.fills.coalesces && std::ranges::none_of(request.attempts, failed);
    decision.max_age =
        copy_age_limit({request_class.max_age, request.valid_since, max_copy_age_}, context_.now);
  }
  // An attempt may wait for a connection for longer than endpoints remember the key of the previous one.
  decision.start_by = latest_start(request, request_class);
  request.attempts.push_back(attempt);
  decisions_.push_back(decision);
}

void Policy::attempt_ended(int request, int attempt, AttemptOutcome outcome, FillOutcome fill, Seconds took,
                           Seconds waited, Seconds sending, bool request_over) {
  auto& state = at(request);
  if (attempt < 0 || attempt >= static_cast<int>(state.attempts.size())) return;
  auto& ended = state.attempts[static_cast<std::size_t>(attempt)];
  if (!ended.in_flight) return;
  accounting_.end(state, ended);
  outcomes_.evaluate(state, ended, {outcome, fill, took, waited, sending});
  if (request_over) close(state);
  if (!state.open) return;
  const auto& request_class = class_of(state);
  if (outcome == AttemptOutcome::rejected ||
      (request_class.uncacheable && may_retry(state, request_class, context_.now))) {
    ended.endpoint_failed = ended.endpoint_failed && !request_class.uncacheable;
    return queue_.request_decision_after(request, pause_after_rejection(fill, state.rejections++));
  }
  const bool failed_at_once =
      outcome == AttemptOutcome::unreachable || outcome == AttemptOutcome::connection_broken;
  if (failed_at_once && ++state.immediate_failures > 1) {
    const int attempts_left = context_.retries.max_attempts - static_cast<int>(state.attempts.size());
    return queue_.request_decision_after(
        request, pause_after_immediate_failure(state.expires - context_.now, attempts_left));
  }
  queue_.request_decision(request);
}

// ---- Timers and the decision queue -----------------------------------------------------------------------

void Policy::timer_fired() {
  constexpr Seconds kTimerTolerance = 1e-6;
  if (context_.now >= wake_up_at_ - kTimerTolerance) wake_up_at_ = kNever;
}

void Policy::tick() {
  constexpr Seconds kTickInterval = 0.05;   // well below any time-out
  constexpr Seconds kHalvingInterval = 30;  // of reference counters, set by the design
  tick_at_ = context_.now + kTickInterval;
  if (context_.now >= halve_at_) {
    if (halve_at_ > 0) counters_.halve();
    halve_at_ = context_.now + kHalvingInterval;
  }
  stuck_attempts_.eject_silent_endpoints();
  if (context_.retries.can_cancel) stuck_attempts_.cancel(decisions_);
  slow_start_.update_warm_rates(kTickInterval);
  // The list is requested once, and again only if it did not arrive.
  if (!context_.polls_discovery || context_.now < poll_at_) return;
  poll_at_ = kNever;
  decisions_.push_back({.kind = Decision::Kind::poll_discovery});
}

std::optional<Decision> Policy::take_decision() {
  if (next_decision_ < decisions_.size()) return decisions_[next_decision_++];
  return std::nullopt;
}

std::optional<Decision> Policy::next() {
  if (auto decision = take_decision()) return decision;
  decisions_.clear();
  next_decision_ = 0;
  if (context_.now >= tick_at_) tick();
  queue_.wake_due();
  for (const int index : queue_.take_ready()) decide(index);
  const Seconds next_due = std::min(tick_at_, queue_.next_due());
  if (next_due < wake_up_at_) {
    wake_up_at_ = next_due;
    decisions_.push_back({.kind = Decision::Kind::wake_up, .time = next_due});
  }
  return take_decision();
}

}  // namespace

}  // namespace routing

std::unique_ptr<RoutingPolicy> make_routing_policy(std::uint32_t seed) {
  return std::make_unique<routing::Policy>(seed);
}

}  // namespace walkpaddle
