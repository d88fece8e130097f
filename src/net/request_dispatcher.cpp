#include "net/request_dispatcher.h"

namespace walkpaddle::net {

namespace {

std::vector<guard::RequestRecord::Rule> effect_rules(const config::Settings& settings) {
  std::vector<guard::RequestRecord::Rule> rules;
  for (const auto& r : config::request_classes(settings))
    rules.push_back({r.idempotency, r.deduplication_window});
  return rules;
}

}  // namespace

RequestHandle::RequestHandle(RequestDispatcher& dispatcher, int rule, std::uint64_t object,
                             std::string_view name, int part, std::uint32_t group, Seconds expires,
                             std::uint64_t id)
    : dispatcher_(dispatcher),
      object_(object),
      name_(name),
      group_(group),
      record_(id, dispatcher.effects_[static_cast<std::size_t>(rule)], expires),
      event_(dispatcher.scheduler_) {
  if (dispatcher_.free_.empty()) {
    slot_ = static_cast<int>(dispatcher_.handles_.size());
    dispatcher_.handles_.push_back(this);
  } else {
    slot_ = dispatcher_.free_.back();
    dispatcher_.free_.pop_back();
    dispatcher_.handles_[slot_] = this;
  }
  dispatcher_.input().request_received(slot_, rule, object, part, group, 0, expires, false);
  tell_purges();
}

void RequestHandle::tell_purges() {
  const Seconds since = dispatcher_.purges_.valid_since(object_, group_, name_, dispatcher_.scheduler_.now());
  if (since == since_) return;
  since_ = since;
  record_.purged(since);
  dispatcher_.input().copies_made_since(slot_, since);
  if (hop_ != nullptr) hop_->abandon_if_unsent();  // decided before the purge
}

RequestHandle::~RequestHandle() {
  if (out_) attempt_ended(AttemptOutcome::not_sent, FillOutcome::none, 0, 0, 0, true);
  dispatcher_.handles_[slot_] = nullptr;
  dispatcher_.free_.push_back(slot_);
}

void RequestHandle::attempt_ended(AttemptOutcome verdict, FillOutcome note, Seconds took, Seconds waited,
                                  Seconds sending, bool txn_over) {
  hop_ = nullptr;
  out_ = false;
  dispatcher_.input().attempt_ended(slot_, hops_ - 1, verdict, note, took, waited, sending, txn_over);
}

void RequestHandle::set_represented_requests(double in_flight, double txns) {
  dispatcher_.input().set_represented_requests(slot_, in_flight, txns);
}

void RequestHandle::leave() {
  if (std::exchange(left_, true)) return;
  record_.client_left();
  dispatcher_.input().client_left(slot_);
  if (hop_ != nullptr) hop_->abandon();
  event_.set();
}

RequestDispatcher::RequestDispatcher(Scheduler& scheduler, std::uint32_t seed,
                                     const config::Settings& settings, purge::PurgeRegistry& purges,
                                     guard::Guard::Report report)
    : scheduler_(scheduler),
      purges_(purges),
      guard_(std::move(report)),
      effects_(effect_rules(settings)),
      brain_(make_routing_policy(seed)),
      between_pulls_(settings.ms("tick")),
      answers_tell_load_(settings.text("report.source") == "answers"),
      wake_(scheduler),
      pull_(scheduler) {
  config::apply_settings(settings, input());
  for (int n = 0; n < settings.whole("categories.count"); ++n)
    sla_.push_back(settings.ms("categories." + std::to_string(n) + ".aim"));
  scheduler_.at_turns_end([this] { turn_ends(); });
  scheduler_.start(keep_time());
  scheduler_.start(keep_pulling());
}

RoutingPolicy& RequestDispatcher::input() {
  brain_->clock(scheduler_.now());
  return *brain_;
}

void RequestDispatcher::begin_metrics(std::uint64_t epoch, Seconds quiet_until) {
  if (!metrics_) metrics_.emplace();
  metrics_->begin(epoch, quiet_until);
}

void RequestDispatcher::request_ended(rollout::RequestOutcome end, int rule, Seconds took, int hops) {
  if (metrics_)
    metrics_->request_ended(end, took, sla_[static_cast<std::size_t>(rule)], hops, scheduler_.now());
}

void RequestDispatcher::attempt_counted(AttemptOutcome verdict, FillOutcome note) {
  if (metrics_)
    metrics_->attempt_ended({.filled = note == FillOutcome::filled || note == FillOutcome::from_origin,
                             .rejected = verdict == AttemptOutcome::rejected},
                            scheduler_.now());
}

void RequestDispatcher::load_reported(int member, double busy) {
  if (answers_tell_load_ && busy >= 0) input().load_reported(member, busy);
}

Task RequestDispatcher::keep_time() {
  for (;;) {
    const bool asked_anew = co_await wake_.wait(wake_at_);
    if (asked_anew) continue;
    wake_at_ = kNoTime;
    input().timer_fired();
  }
}

// A pull asks again for each txn that waits, thousands of times a second if each turn did it. So pulls keep
// the settings' least time between two; the first after a quiet while comes at once.
void RequestDispatcher::turn_ends() {
  // At once, before anything that was decided before them goes out.
  if (std::exchange(purges_told_, purges_.version()) != purges_.version())
    for (auto* handle : handles_)
      if (handle != nullptr) handle->tell_purges();
  if (scheduler_.now() >= pulled_at_ + between_pulls_) return pull();
  if (!std::exchange(pull_due_, true)) pull_.set();
}

Task RequestDispatcher::keep_pulling() {
  for (;;) {
    co_await pull_.wait();
    Event due(scheduler_);
    co_await due.wait(pulled_at_ + between_pulls_);  // the turn that this makes ends with the pull
    pull_due_ = false;
  }
}

void RequestDispatcher::pull() {
  pulled_at_ = scheduler_.now();
  input().copies_no_older_than(purges_.copy_age_limit(pulled_at_));
  while (const auto d = brain_->next()) {
    using Kind = Decision::Kind;
    if (d->kind == Kind::wake_up) {
      if (d->time >= wake_at_) continue;
      wake_at_ = d->time;
      wake_.set();
      continue;
    }
    auto* handle = d->request >= 0 ? handles_[d->request] : nullptr;
    if (handle == nullptr) continue;  // subscribe: the bus tells of itself
    if (d->kind == Kind::cancel) {
      if (handle->hop_ != nullptr && d->attempt == handle->hops_ - 1) handle->hop_->cancel();
      continue;
    }
    if (d->kind == Kind::forward) handle->out_ = true, ++handle->hops_;
    handle->decision_ = d;
    handle->event_.set();
  }
}

}  // namespace walkpaddle::net
