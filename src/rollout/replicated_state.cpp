#include "rollout/replicated_state.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "replica/replicated_state.h"
#include "rollout/messages.h"

namespace walkpaddle::rollout {

RolloutState::RolloutState(RolloutContext& context, std::string initial_generation, Host& host)
    : context_(context), initial_generation_(std::move(initial_generation)), host_(host) {}

// ---- proposals and items -----------------------------------------------------------------------

bool RolloutState::propose(const RolloutPlan& plan, Seconds now) {
  if (const auto why = refusal_of_proposal(plan)) {
    context_.log.add(plan.name, "refused: " + *why);
    return false;
  }
  if (const auto* record = find(plan.name); record != nullptr && record->plan == plan) return false;
  set_plan(plan, now);
  return find(plan.name) != nullptr;
}

std::optional<std::string> RolloutState::refusal_of_proposal(const RolloutPlan& plan) const {
  if (auto why = refusal(plan)) return why;
  if (encode(plan).size() > replica::ReplicatedState::kMaxItemBytes) return "its document is too long";
  // A name always stands for the same generation, so a second attempt needs a new one.
  for (const auto& [name, record] : records_)
    if (name != plan.name && (record.plan.after == plan.after || record.plan.before == plan.after))
      return "the name of generation " + plan.after + " is already used by change " + name;
  return std::nullopt;
}

bool RolloutState::stop(const std::string& rollout, const std::string& why, Seconds now) {
  const RolloutStop stop{context_.fleet.self_router().router, now, why.substr(0, kMaxReasonBytes)};
  auto* record = find(rollout);
  if (record != nullptr) return set_stop(*record, stop, now);
  if (early_stops_.size() < context_.limits.rollouts && rollout.size() <= kMaxRolloutNameBytes)
    early_stops_.try_emplace(rollout, stop);
  return false;
}

void RolloutState::join(std::string_view bytes, Seconds now) {
  const auto item = decode_item(bytes, [this](const std::string& name) { return find(name) != nullptr; });
  if (!item) return;
  if (const auto* plan = std::get_if<RolloutPlan>(&*item))
    set_plan(*plan, now);
  else if (const auto* decision = std::get_if<DecisionItem>(&*item))
    set_decision(*find(decision->rollout), decision->decision);
  else if (const auto* stop = std::get_if<StopItem>(&*item))
    set_stop(*find(stop->rollout), stop->stop, now);
}

// ---- the join ----------------------------------------------------------------------------------

void RolloutState::set_plan(const RolloutPlan& plan, Seconds now) {
  if (auto* record = find(plan.name)) {
    if (record->plan != plan) resolve_conflict(*record, plan, now);
    return;
  }
  if (!evict_finished()) {
    context_.log.add(plan.name, "refused: there are too many changes");
    return;
  }
  add(plan, now);
}

/// Handles two plans with the same name: every router keeps the lesser one, and the rollout is stopped.
void RolloutState::resolve_conflict(RolloutRecord& record, const RolloutPlan& plan, Seconds now) {
  if (plan < record.plan) {
    record.plan = plan;
    host_.publish({ItemKey::Kind::plan, plan.name}, encode(plan));
  }
  set_stop(record, {0, 0, "two different documents have this name"}, now);
}

/// If the limit is reached, removes the first rollout by name that is over and whose generations are no
/// longer needed. Returns false if there is none, so that there is no room.
bool RolloutState::evict_finished() {
  if (records_.size() < context_.limits.rollouts) return true;
  const auto finished = std::ranges::find_if(records_, [this](const auto& entry) {
    const auto& record = entry.second;
    return record.over() && record.plan.after != host_.running() && record.plan.before != host_.running() &&
           fleet_generation() != record.plan.after;
  });
  if (finished == records_.end()) return false;
  for (const auto kind : {ItemKey::Kind::plan, ItemKey::Kind::decision, ItemKey::Kind::stop})
    host_.withdraw({kind, finished->first});
  records_.erase(finished);
  return true;
}

void RolloutState::add(const RolloutPlan& plan, Seconds now) {
  const auto& fleet = context_.fleet;
  RolloutRecord new_record{.plan = plan};
  new_record.order = rollout_order(plan, fleet.routers());
  new_record.stage_sizes = stage_sizes(plan, fleet.size());
  const auto own_place = std::ranges::find(new_record.order, static_cast<std::size_t>(fleet.self()));
  new_record.place = static_cast<std::size_t>(own_place - new_record.order.begin());
  auto& record = records_[plan.name] = std::move(new_record);
  host_.publish({ItemKey::Kind::plan, plan.name}, encode(plan));
  if (const auto early = early_stops_.extract(plan.name)) set_stop(record, early.mapped(), now);
  context_.log.add(plan.name, "proposed by " + plan.author + ", from " + plan.before + " to " + plan.after +
                                  " in " + std::to_string(record.stages()) + " stages");
}

bool RolloutState::set_decision(RolloutRecord& record, const StageDecision& decision) {
  const auto& name = record.plan.name;
  auto& known = record.decision;
  const auto stages = record.stages();
  const StageDecision joined{std::max(known.term, decision.term),
                             std::min(stages, std::max(known.stage, decision.stage)),
                             known.done || (decision.done && decision.stage >= stages)};
  if (joined.stage == known.stage && joined.done == known.done && joined.term == known.term) return false;
  if (joined.stage > known.stage)
    context_.log.add(name, "stage " + std::to_string(joined.stage) + " of " + std::to_string(stages) + ", " +
                               std::to_string(record.stage_sizes[joined.stage - 1]) + " of " +
                               std::to_string(context_.fleet.size()) + " routers");
  if (joined.done && !known.done) context_.log.add(name, "done, the fleet runs " + record.plan.after);
  known = joined;
  host_.publish({ItemKey::Kind::decision, name}, encode(DecisionItem{name, joined}));
  return true;
}

/// Of two stops the lesser is kept, so that all routers give the same reason. The rollout stays stopped.
bool RolloutState::set_stop(RolloutRecord& record, const RolloutStop& stop, Seconds now) {
  if (record.stop && !(stop < *record.stop)) return false;
  const auto& name = record.plan.name;
  const bool first = !record.stop.has_value();
  if (first) {
    record.stop_received_at = now;
    context_.log.add(name, "STOPPED: " + stop.why);
  }
  record.stop = stop;
  if (first) host_.stopped(name);
  host_.publish({ItemKey::Kind::stop, name}, encode(StopItem{name, stop}));
  return true;
}

// ---- look-up and the fleet's generation --------------------------------------------------------

RolloutRecord* RolloutState::find(const std::string& rollout) {
  const auto it = records_.find(rollout);
  return it == records_.end() ? nullptr : &it->second;
}

RolloutRecord* RolloutState::find(std::uint64_t id) {
  for (auto& [name, record] : records_)
    if (message_id(name) == id) return &record;
  return nullptr;
}

std::string RolloutState::fleet_generation() const {
  auto generation = initial_generation_;
  // Follows completed rollouts forward and the others back, each at most once.
  std::set<std::string> followed;
  for (bool moved = true; moved;) {
    moved = false;
    for (const auto& [name, record] : records_) {
      if (followed.contains(name)) continue;
      const bool forward = record.completed() && record.plan.before == generation;
      const bool back = !record.completed() && record.plan.after == generation;
      if (!forward && !back) continue;
      generation = forward ? record.plan.after : record.plan.before;
      followed.insert(name);
      moved = true;
    }
  }
  return generation;
}

const RolloutRecord* RolloutState::active() const {
  const auto generation = fleet_generation();
  const RolloutRecord* best = nullptr;
  for (const auto& [name, record] : records_) {
    if (record.over() || record.plan.before != generation) continue;
    if (best == nullptr || record.decision.stage > best->decision.stage) best = &record;
  }
  return best;
}

RolloutRecord* RolloutState::active() { return const_cast<RolloutRecord*>(std::as_const(*this).active()); }

}  // namespace walkpaddle::rollout
