#include "rollout/driver.h"

#include <algorithm>

namespace walkpaddle::rollout {

using State = StageRunner::State;

RolloutDriver::RolloutDriver(RolloutContext& context, RolloutState& state, Voter& voter, Host& host,
                             std::uint32_t seed, Seconds now)
    : context_(context),
      state_(state),
      voter_(voter),
      host_(host),
      random_(seed),
      stepped_at_(now),
      next_election_(now) {}

void RolloutDriver::resign_from(const std::string& rollout) {
  if (drive_ && drive_->rollout == rollout) resign();
}

const StageRunner* RolloutDriver::stages_of(const std::string& rollout) const {
  return is_driving() && drive_->rollout == rollout ? &*drive_->stages : nullptr;
}

void RolloutDriver::step(Seconds now) {
  // After a stall of more than half a lease this router resigns and waits a lease for the driver that the
  // others may have elected meanwhile.
  if (now - stepped_at_ > context_.limits.lease / 2) {
    resign();
    voter_.restart_lease(now);
  }
  stepped_at_ = now;
  if (now < context_.wake.due()) return;
  context_.wake.set(now + context_.limits.retry_interval / 2);
  auto* record = state_.active();
  if (record == nullptr) {
    resign();
    voter_.limit_driver_silence(now);
    context_.wake.set(now + context_.limits.request_interval);
    return;
  }
  if (drive_ && drive_->rollout != record->plan.name) resign();
  if (drive_)
    drive(*record, now);
  else
    try_election(*record, now);
}

// ---- elections ---------------------------------------------------------------------------------

void RolloutDriver::try_election(RolloutRecord& record, Seconds now) {
  if (!may_stand_for_election(record, now)) return;
  std::uniform_real_distribution<> jitter(0.5, 1.5);
  next_election_ = now + context_.limits.lease * jitter(random_);
  voter_.stand_for_election(record.place);
  drive_.emplace(Drive{.rollout = record.plan.name,
                       .election_started = now,
                       .request_at = now,
                       .progress = FleetProgress(context_, record.own.turns)});
  drive(record, now);
}

/// The last live router in the order of the rollout stands first: it keeps the old generation longest and so
/// can drive the rollout to its end.
bool RolloutDriver::may_stand_for_election(const RolloutRecord& record, Seconds now) const {
  constexpr std::size_t kMaxWaitSteps = 8;
  std::size_t alive_after = 0;
  for (auto place = record.place + 1; place < record.order.size(); ++place)
    if (context_.fleet.alive(static_cast<int>(record.order[place]))) ++alive_after;
  const auto steps = static_cast<double>(std::min(alive_after, kMaxWaitSteps));
  const Seconds timeout = context_.limits.lease * (1 + 0.5 * steps);
  const bool no_driver_yet = record.decision.stage == 0 && voter_.term() == 0 && alive_after == 0;
  if (now - voter_.last_driver_contact() < timeout && !no_driver_yet) return false;
  return now >= next_election_ && !context_.calendar.why_not_current(now);
}

/// Returns whether this router is still the driver or a candidate; if not, it has resigned. A candidate with
/// a majority of the votes becomes the driver.
bool RolloutDriver::confirm_role(RolloutRecord& record, Seconds now) {
  const auto majority = context_.fleet.majority();
  if (drive_->stages) {
    if (drive_->progress.fresh_reports(now) >= majority) return true;
    context_.log.add(record.plan.name, "no majority answers; this router is no longer the driver");
    voter_.restart_lease(now);
    resign();
    return false;
  }
  if (drive_->progress.votes() >= majority) {
    become_driver(record, now);
    return true;
  }
  if (now - drive_->election_started <= context_.limits.lease) return true;
  resign();
  return false;
}

/// A stage that a majority agreed to under an earlier term may have been decided; some voter of this majority
/// then agreed to it. Agreement to it is requested again, as the rollout may have been stopped since. The
/// stages before it were decided.
void RolloutDriver::become_driver(RolloutRecord& record, Seconds now) {
  const auto agreed = std::max(record.decision.stage, drive_->progress.furthest_agreed());
  if (agreed > record.decision.stage + 1) state_.set_decision(record, {voter_.term(), agreed - 1, false});
  auto state = State::comparing;
  if (agreed > record.decision.stage)
    state = State::requesting_agreement;
  else if (record.decision.stage == 0)
    state = State::taking_baseline;
  drive_->stages.emplace(context_, drive_->progress, record.plan, state, now);
  context_.log.add(record.plan.name, "this router is the driver, term " + std::to_string(voter_.term()));
  drive_->request_at = now;
}

// ---- driving -----------------------------------------------------------------------------------

void RolloutDriver::drive(RolloutRecord& record, Seconds now) {
  const auto own = host_.own_report(record, true);
  drive_->progress.set_own_report(own, now);
  drive_->progress.note_phase(context_.fleet.self(), own, now);
  if (!confirm_role(record, now)) return;
  if (drive_->stages && now >= drive_->stages->evaluate_at()) evaluate(record, now);
  if (!drive_) return;
  if (drive_->is(State::requesting_agreement)) conclude_agreement(record, now);
  if (drive_->is(State::comparing) && drive_->stages->give_turns(record, now))
    drive_->request_at = std::min(drive_->request_at, now);
  if (now >= drive_->request_at) request(record, now);
}

void RolloutDriver::evaluate(RolloutRecord& record, Seconds now) {
  const auto action = drive_->stages->evaluate(record, now);
  switch (action.step) {
    case StageAction::Step::wait:
      return;
    case StageAction::Step::request_agreement:
      drive_->request_at = now;
      return;
    case StageAction::Step::stop:
      state_.stop(record.plan.name, action.reason, now);  // makes this router resign
      return;
    case StageAction::Step::finish:
      state_.set_decision(record, {voter_.term(), record.stages(), true});
      resign();
      return;
  }
}

/// Decides the next stage once a majority has agreed to it under this driver's term.
void RolloutDriver::conclude_agreement(RolloutRecord& record, Seconds now) {
  const auto agreed = drive_->progress.agreed_past(record.decision.stage, voter_.term());
  if (agreed < context_.fleet.majority() || record.stop) return;
  state_.set_decision(record, {voter_.term(), record.decision.stage + 1, false});
  drive_->stages->begin_stage(now);
  drive_->request_at = now;
}

void RolloutDriver::request(RolloutRecord& record, Seconds now) {
  const bool is_election = !drive_->stages;
  const bool requests_agreement = drive_->is(State::requesting_agreement);
  const bool is_urgent = is_election || requests_agreement;
  drive_->request_at = now + (is_urgent ? context_.limits.retry_interval : context_.limits.request_interval);
  const std::uint32_t wanted = requests_agreement ? record.decision.stage + 1 : 0;
  if (wanted > 0 && voter_.agree(record, voter_.term(), wanted, now))
    drive_->progress.set_own_report(host_.own_report(record, true), now);
  const auto bytes = encode(DriverRequest{.rollout = message_id(record.plan.name),
                                          .term = voter_.term(),
                                          .kind = is_election ? RequestKind::vote : RequestKind::report,
                                          .decided_stage = record.decision.stage,
                                          .wanted_stage = wanted,
                                          .turns = static_cast<std::uint32_t>(drive_->progress.turns())});
  for (int peer = 0; peer < context_.fleet.self(); ++peer)
    if (context_.fleet.alive(peer)) host_.send(peer, bytes);
}

void RolloutDriver::receive(int from, const RouterReport& report, Seconds now) {
  if (report.term > voter_.term()) {
    next_election_ = now + context_.limits.lease;
    voter_.observe_term(report.term);
    resign();
    return;
  }
  if (!drive_->progress.receive(from, report, voter_.term(), now)) return;
  const auto* record = state_.find(drive_->rollout);
  if (record != nullptr && drive_->is(State::requesting_agreement) &&
      report.agreed_stage > record->decision.stage)
    context_.wake.at_once();
}

}  // namespace walkpaddle::rollout
