#include "net/request_dispatcher.h"

namespace walkpaddle::net {

namespace {

std::vector<guard::RequestRecord::Rule> effect_rules(const config::Settings& settings) {
  std::vector<guard::RequestRecord::Rule> rules;
  for (const auto& request_class : config::request_classes(settings))
    rules.push_back({request_class.idempotency, request_class.deduplication_window});
  return rules;
}

}  // namespace

// ---- RequestHandle. ------------------------------------------------------------------------------------

RequestHandle::RequestHandle(RequestDispatcher& dispatcher, int class_index, std::uint64_t object,
                             std::string_view object_name, int part, std::uint32_t group, Seconds deadline,
                             std::uint64_t id)
    : dispatcher_(dispatcher),
      object_(object),
      object_name_(object_name),
      group_(group),
      record_(id, dispatcher.effect_rules_[static_cast<std::size_t>(class_index)], deadline),
      slot_(dispatcher.take_slot(*this)),
      event_(dispatcher.scheduler_) {
  dispatcher_.input().request_received(slot_, class_index, object, part, group, 0, deadline, false);
  update_purges();
}

RequestHandle::~RequestHandle() {
  if (attempt_in_flight_) attempt_ended(AttemptOutcome::not_sent, FillOutcome::none, 0, 0, 0, true);
  dispatcher_.handles_[static_cast<std::size_t>(slot_)] = nullptr;
  dispatcher_.free_slots_.push_back(slot_);
}

void RequestHandle::update_purges() {
  const Seconds since =
      dispatcher_.purges_.valid_since(object_, group_, object_name_, dispatcher_.scheduler_.now());
  if (since == valid_since_) return;
  valid_since_ = since;
  record_.purged(since);
  dispatcher_.input().set_valid_since(slot_, since);
  if (attempt_ != nullptr) attempt_->abandon_if_unsent();  // it was decided before the purge
}

void RequestHandle::answer_delayed() { dispatcher_.input().answer_delayed(slot_, attempts_ - 1); }

void RequestHandle::attempt_ended(AttemptOutcome outcome, FillOutcome fill, Seconds duration,
                                  Seconds fill_wait, Seconds transfer_time, bool request_over) {
  attempt_ = nullptr;
  attempt_in_flight_ = false;
  dispatcher_.input().attempt_ended(slot_, attempts_ - 1, outcome, fill, duration, fill_wait, transfer_time,
                                    request_over);
}

void RequestHandle::set_represented_requests(double in_flight, double requests) {
  dispatcher_.input().set_represented_requests(slot_, in_flight, requests);
}

void RequestHandle::client_left() {
  if (std::exchange(has_client_left_, true)) return;
  record_.client_left();
  dispatcher_.input().client_left(slot_);
  if (attempt_ != nullptr) attempt_->abandon();
  event_.set();
}

// ---- RequestDispatcher. --------------------------------------------------------------------------------

RequestDispatcher::RequestDispatcher(Scheduler& scheduler, std::uint32_t seed,
                                     const config::Settings& settings, purge::PurgeRegistry& purges,
                                     guard::Guard::Report report)
    : scheduler_(scheduler),
      purges_(purges),
      guard_(std::move(report)),
      effect_rules_(effect_rules(settings)),
      policy_(make_routing_policy(seed)),
      poll_interval_(settings.duration("tick")),
      answers_report_load_(settings.text("report.source") == "answers"),
      timer_changed_(scheduler),
      poll_wanted_(scheduler) {
  config::apply_settings(settings, input());
  for (int n = 0; n < settings.integer("categories.count"); ++n)
    latency_objectives_.push_back(settings.duration("categories." + std::to_string(n) + ".aim"));
  scheduler_.call_at_turn_end([this] { on_turn_end(); });
  scheduler_.start(run_timer());
  scheduler_.start(run_polls());
}

int RequestDispatcher::take_slot(RequestHandle& handle) {
  if (free_slots_.empty()) {
    handles_.push_back(&handle);
    return static_cast<int>(handles_.size()) - 1;
  }
  const int slot = free_slots_.back();
  free_slots_.pop_back();
  handles_[static_cast<std::size_t>(slot)] = &handle;
  return slot;
}

RoutingPolicy& RequestDispatcher::input() {
  policy_->clock(scheduler_.now());
  return *policy_;
}

void RequestDispatcher::begin_metrics(std::uint64_t epoch, Seconds quiet_until) {
  if (!metrics_) metrics_.emplace();
  metrics_->begin(epoch, quiet_until);
}

void RequestDispatcher::request_ended(rollout::RequestOutcome end, int class_index, Seconds duration,
                                      int attempts) {
  if (!metrics_) return;
  const Seconds objective = latency_objectives_[static_cast<std::size_t>(class_index)];
  metrics_->request_ended(end, duration, objective, attempts, scheduler_.now());
}

void RequestDispatcher::attempt_counted(AttemptOutcome outcome, FillOutcome fill) {
  if (!metrics_) return;
  const bool filled = fill == FillOutcome::filled || fill == FillOutcome::from_origin;
  metrics_->attempt_ended({.filled = filled, .rejected = outcome == AttemptOutcome::rejected},
                          scheduler_.now());
}

void RequestDispatcher::load_reported(int endpoint, double load) {
  if (answers_report_load_ && load >= 0) input().load_reported(endpoint, load);
}

// ---- Polling the policy. -------------------------------------------------------------------------------

Task RequestDispatcher::run_timer() {
  for (;;) {
    const bool changed = co_await timer_changed_.wait(wake_up_at_);
    if (changed) continue;
    wake_up_at_ = kNoTime;
    input().timer_fired();
  }
}

// Each poll makes the policy reconsider every waiting request, and there can be thousands of turns a second.
// Polls therefore keep a minimum interval, which the settings give; the first after a longer pause runs at
// once.
void RequestDispatcher::on_turn_end() {
  // New purges are applied first, before anything that was decided without them is sent.
  if (std::exchange(purges_version_, purges_.version()) != purges_.version()) {
    for (auto* handle : handles_)
      if (handle != nullptr) handle->update_purges();
  }
  if (scheduler_.now() >= last_poll_at_ + poll_interval_) return poll_policy();
  if (!std::exchange(poll_pending_, true)) poll_wanted_.set();
}

Task RequestDispatcher::run_polls() {
  for (;;) {
    co_await poll_wanted_.wait();
    Event due(scheduler_);
    co_await due.wait(last_poll_at_ + poll_interval_);  // the turn that this starts polls at its end
    poll_pending_ = false;
  }
}

void RequestDispatcher::poll_policy() {
  last_poll_at_ = scheduler_.now();
  input().set_max_copy_age(purges_.copy_age_limit(last_poll_at_));
  while (const auto decision = policy_->next()) carry_out(*decision);
}

void RequestDispatcher::wake_up_at(Seconds time) {
  if (time >= wake_up_at_) return;
  wake_up_at_ = time;
  timer_changed_.set();
}

void RequestDispatcher::carry_out(const Decision& decision) {
  using Kind = Decision::Kind;
  if (decision.kind == Kind::wake_up) return wake_up_at(decision.time);
  auto* const handle = decision.request >= 0 ? handles_[static_cast<std::size_t>(decision.request)] : nullptr;
  if (handle == nullptr) return;  // also for poll_discovery: discovery sends its events unasked
  if (decision.kind == Kind::cancel) {
    if (handle->attempt_ != nullptr && decision.attempt == handle->attempts_ - 1) handle->attempt_->cancel();
    return;
  }
  if (decision.kind == Kind::forward) {
    handle->attempt_in_flight_ = true;
    ++handle->attempts_;
  }
  handle->decision_ = decision;
  handle->event_.set();
}

}  // namespace walkpaddle::net
