#include "rollout/local_router.h"

#include <algorithm>
#include <utility>

#include "freeze/calendar.h"

namespace walkpaddle::rollout {

LocalRouter::LocalRouter(RolloutContext& context, RolloutState& state, std::string generation)
    : context_(context), state_(state), running_(std::move(generation)) {}

std::optional<GenerationMove> LocalRouter::next_move(Seconds now) {
  if (moving_) return std::nullopt;
  clear_completed_release();
  for (auto& [name, record] : state_.records()) {
    if (const auto at = rollback_at(record)) {
      if (now >= *at) return begin_move(record, true);
      context_.wake.no_later_than(*at);
    }
    if (!may_move(record)) continue;
    record.own.wait_reason = hold_reason(record, now);
    if (record.own.wait_reason.empty()) return begin_move(record, false);
  }
  return std::nullopt;
}

/// A release is tried once while its rollout is under way. When the rollout is done and this router runs the
/// release, the attempt is cleared: if the supervisor later starts the earlier program, that program may move
/// to the release again.
void LocalRouter::clear_completed_release() {
  if (attempted_release_.empty()) return;
  const auto* record = state_.find(attempted_release_);
  if (record != nullptr && record->decision.done && running_ == record->plan.after)
    attempted_release_.clear();
}

/// When this router goes back after a stop. Routers go back in groups, the last moved first and immediately.
/// nullopt: there is no stop, or this router does not run the new generation.
std::optional<Seconds> LocalRouter::rollback_at(const RolloutRecord& record) const {
  if (!record.stop || running_ != record.plan.after) return std::nullopt;
  const std::size_t decided =
      record.decision.stage > 0 ? record.stage_sizes[record.decision.stage - 1] : std::size_t{1};
  const auto moved = std::max(record.own.turns, decided);
  const auto moved_later = moved > record.place ? moved - 1 - record.place : 0;
  const auto group = moved_later / max_moving(record.plan, context_.fleet.size());
  return record.stop_received_at + static_cast<Seconds>(group) * rollback_interval(record.plan);
}

/// Whether this router is to move to the new generation, unless a freeze window holds it.
bool LocalRouter::may_move(const RolloutRecord& record) const {
  if (record.stop || running_ != record.plan.before || failed(record)) return false;
  if (record.decision.done) return true;
  return &record == state_.active() && record.decision.stage > 0 && record.place < record.own.turns;
}

std::string LocalRouter::hold_reason(const RolloutRecord& record, Seconds now) const {
  // A router that returns takes the generation of the whole fleet even in a freeze window, as it is no longer
  // a change of the fleet.
  if (record.decision.done) return {};
  const freeze::PlannedChange move{.change = record.plan.name,
                                   .work = record.plan.work,
                                   .sites = {context_.fleet.self_router().site},
                                   .max_duration = record.plan.ready_within};
  const auto permission = context_.calendar.decide(freeze::Action::start_stage, move, now);
  return permission.why;
}

const GenerationMove& LocalRouter::begin_move(const RolloutRecord& record, bool is_rollback) {
  const auto& plan = record.plan;
  moving_ = GenerationMove{is_rollback ? plan.before : plan.after, plan, is_rollback};
  context_.log.add(plan.name, "this router moves to " + moving_->to + (is_rollback ? " (rollback)" : ""));
  return *moving_;
}

void LocalRouter::moved() {
  if (!moving_) return;
  running_ = moving_->to;
  metrics_ = {};  // they are of the earlier generation
  context_.log.add(moving_->plan.name, "this router runs " + running_);
  moving_.reset();
  context_.wake.at_once();
}

void LocalRouter::move_failed(const std::string& why) {
  if (!moving_) return;
  const auto& name = moving_->plan.name;
  context_.log.add(name, moving_->to + " did not become ready: " + why.substr(0, kMaxReasonBytes));
  if (auto* record = state_.find(name); record != nullptr && !moving_->is_rollback)
    record->own.move_failed = true;
  moving_.reset();
  context_.wake.at_once();
}

RouterPhase LocalRouter::phase(const RolloutRecord& record) const {
  if (moving_) return RouterPhase::moving;
  if (running_ == record.plan.after) return RouterPhase::new_generation;
  if (failed(record)) return RouterPhase::failed;
  return record.own.wait_reason.empty() ? RouterPhase::old_generation : RouterPhase::held;
}

/// Whether this router's move failed. For a release, the stored attempt shows it after a restart.
bool LocalRouter::failed(const RolloutRecord& record) const {
  if (record.own.move_failed) return true;
  return !attempted_release_.empty() && attempted_release_ == record.plan.name &&
         running_ == record.plan.before;
}

const std::string& LocalRouter::attempted_release() const {
  const bool process_ends = moving_ && !moving_->is_rollback && moving_->plan.work == freeze::kRelease;
  return process_ends ? moving_->plan.name : attempted_release_;
}

}  // namespace walkpaddle::rollout
