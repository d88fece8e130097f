#include "rollout/stage_runner.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace walkpaddle::rollout {

namespace {

using freeze::Action;
using Outcome = freeze::Permission::Outcome;
using Step = StageAction::Step;

/// The last stage first holds back the fleet's size divided by this, at least one router, for comparison.
constexpr std::size_t kHeldBackDivisor = 10;

}  // namespace

StageRunner::StageRunner(const RolloutContext& context, FleetProgress& progress, const RolloutPlan& plan,
                         State state, Seconds now)
    : context_(context),
      progress_(progress),
      state_(state),
      stage_began_(now),
      evaluate_at_(now),
      analysis_({.tolerated_ratio = plan.tolerated_ratio, .harm_threshold = plan.harm_threshold}) {}

void StageRunner::begin_stage(Seconds now) {
  state_ = State::comparing;
  stage_began_ = now;
  evaluate_at_ = now;
  holding_back_last_ = true;
  wait_reason_.clear();
  analysis_.begin_stage();
}

// ---- the comparison ----------------------------------------------------------------------------

StageAction StageRunner::evaluate(const RolloutRecord& record, Seconds now) {
  evaluate_at_ = now + context_.limits.request_interval;
  if (must_roll_back(record, now))
    return {Step::stop, "a freeze window was declared late; rolling back while there is time"};
  const auto samples = take_samples(now);
  if (state_ != State::taking_baseline) {
    analysis_.add_interval(samples);
    if (auto reason = reason_to_stop(record, now)) return {Step::stop, std::move(*reason)};
  }
  return advance(record, now);
}

bool StageRunner::must_roll_back(const RolloutRecord& record, Seconds now) const {
  if (record.decision.stage == 0) return false;
  const auto fleet = context_.fleet.size();
  const auto& plan = record.plan;
  const Seconds remaining = max_rollout_duration(plan, fleet) - plan.max_stage_time * record.decision.stage;
  return context_.calendar.late_window_effect(planned_change(plan, remaining, now),
                                              max_rollback_duration(plan, fleet),
                                              now) == freeze::LateWindowEffect::rolls_back;
}

/// Returns the increase since the last call of each router that has a fresh report and is not moving. While
/// the baseline is taken, the old generation's metrics are only stored.
std::vector<CanaryAnalysis::Sample> StageRunner::take_samples(Seconds now) {
  std::vector<CanaryAnalysis::Sample> samples;
  for (const auto& [number, timed] : progress_.reports()) {
    const auto& metrics = timed.report.metrics;
    if (!progress_.is_fresh(timed, now) || metrics.epoch == 0) continue;
    if (timed.report.phase == RouterPhase::moving) continue;
    const bool is_canary = timed.report.phase == RouterPhase::new_generation;
    const auto router = context_.fleet.router(number).router;
    auto& last = last_metrics_[number];
    const bool baseline_only = state_ == State::taking_baseline && !is_canary;
    const bool is_first = last.epoch == 0 && !is_canary;
    if (!baseline_only && is_first) {
      analysis_.add_baseline(router,
                             metrics);  // for a driver that took over, the counts so far are the baseline
    } else if (!baseline_only) {
      samples.push_back({router, context_.fleet.site_index(number),
                         is_canary ? Cohort::canary : Cohort::control, metrics.since(last)});
    }
    last = metrics;
  }
  return samples;
}

std::optional<std::string> StageRunner::reason_to_stop(const RolloutRecord& record, Seconds now) const {
  const auto failed = progress_.failed_starts(record.plan, now);
  std::size_t tolerated = 0;
  if (record.decision.stage > 1)
    tolerated =
        static_cast<std::size_t>(context_.limits.failed_share * static_cast<double>(progress_.moved()));
  if (failed > tolerated)
    return std::to_string(failed) + " of the moved routers did not become ready or crashed soon after";
  if (analysis_.verdict() == CanaryVerdict::worse) return analysis_.reason();
  return std::nullopt;
}

// ---- stages ------------------------------------------------------------------------------------

/// Requests the next stage, waits or stops. The next stage needs the current one's minimum time, moves and
/// requests, a conclusive analysis, and the calendar's permission.
StageAction StageRunner::advance(const RolloutRecord& record, Seconds now) {
  if (state_ == State::requesting_agreement) return {};
  if (record.decision.stage == 0) return begin_rollout(record, now);
  const auto& plan = record.plan;
  const auto routers = count_routers();
  const bool is_last = record.decision.stage == record.stages();
  const bool all_moved = progress_.settled(record, now) == progress_.turns();
  if (is_last && progress_.turns() == context_.fleet.size()) return finish(routers, all_moved);
  const bool ready = now >= stage_began_ + plan.min_stage_time && all_moved && routers.new_generation > 0;
  const bool is_inconclusive = analysis_.verdict() == CanaryVerdict::inconclusive;
  if (!ready || is_inconclusive || !has_enough_requests(plan, routers))
    return wait_or_time_out(record, routers, now);
  if (!is_last) return request_next_stage(record, now);
  holding_back_last_ = false;
  return {};
}

/// Takes the baseline of all routers for the minimum time of a stage before the first router moves. By then
/// it is also known what each router can read.
StageAction StageRunner::begin_rollout(const RolloutRecord& record, Seconds now) {
  const auto& plan = record.plan;
  const auto refused = context_.refusal(plan);
  const Seconds max_duration = max_rollout_duration(plan, context_.fleet.size());
  const auto permission =
      context_.calendar.decide(Action::propose, planned_change(plan, max_duration, now), now);
  wait_reason_ = refused.empty() ? permission.why : refused;
  if (now < stage_began_ + plan.min_stage_time) return {};
  if (!refused.empty() || permission.outcome == Outcome::never)
    return {Step::stop, "refused: " + wait_reason_};
  if (!permission.allowed()) return {};
  for (const auto& [number, metrics] : last_metrics_)
    analysis_.add_baseline(context_.fleet.router(number).router, metrics);
  state_ = State::requesting_agreement;
  return {Step::request_agreement};
}

StageAction StageRunner::finish(const RouterCounts& routers, bool all_moved) {
  if (all_moved && routers.old_generation == 0) return {Step::finish};
  wait_reason_.clear();
  if (routers.held > 0)
    wait_reason_ = std::to_string(routers.held) + " routers are held by a freeze window at their site";
  return {};
}

StageAction StageRunner::request_next_stage(const RolloutRecord& record, Seconds now) {
  const auto& plan = record.plan;
  const Seconds max_duration = plan.max_stage_time + max_rollback_duration(plan, context_.fleet.size());
  const auto permission =
      context_.calendar.decide(Action::next_stage, planned_change(plan, max_duration, now), now);
  if (!permission.allowed()) {
    wait_reason_ = permission.why;
    return {};
  }
  wait_reason_.clear();
  state_ = State::requesting_agreement;
  return {Step::request_agreement};
}

StageAction StageRunner::wait_or_time_out(const RolloutRecord& record, const RouterCounts& routers,
                                          Seconds now) {
  const auto& plan = record.plan;
  const bool is_inconclusive = analysis_.verdict() == CanaryVerdict::inconclusive;
  wait_reason_ = is_inconclusive ? "inconclusive: " + analysis_.reason() : "";
  if (now < stage_began_ + plan.max_stage_time || routers.held > 0) return {};
  if (is_inconclusive)
    return {Step::stop, "still inconclusive after the maximum time of the stage: " + analysis_.reason()};
  return {Step::stop, "too little evidence within the maximum time of stage " +
                          std::to_string(record.decision.stage) + ": " +
                          std::to_string(requests(Cohort::canary)) + " requests with the new generation, " +
                          std::to_string(requests(Cohort::control)) + " with the old, " +
                          std::to_string(plan.min_requests) + " required"};
}

bool StageRunner::has_enough_requests(const RolloutPlan& plan, const RouterCounts& routers) const {
  if (requests(Cohort::canary) < plan.min_requests) return false;
  return routers.old_generation == 0 || requests(Cohort::control) >= plan.min_requests;
}

/// Counts the live routers of each side.
StageRunner::RouterCounts StageRunner::count_routers() const {
  RouterCounts routers;
  for (const auto& [number, timed] : progress_.reports()) {
    if (!context_.fleet.alive(number)) continue;
    const auto phase = timed.report.phase;
    if (phase == RouterPhase::old_generation || phase == RouterPhase::held) ++routers.old_generation;
    if (phase == RouterPhase::new_generation) ++routers.new_generation;
    if (phase == RouterPhase::held) ++routers.held;
  }
  return routers;
}

/// Describes the change at the sites that are not frozen now: a frozen site holds its own routers, and the
/// others go on without it. If all sites are frozen, all are included.
freeze::PlannedChange StageRunner::planned_change(const RolloutPlan& plan, Seconds max_duration,
                                                  Seconds now) const {
  const auto& sites = context_.fleet.sites();
  std::vector<std::string> unfrozen;
  for (const auto& site : sites)
    if (!context_.calendar.is_site_frozen(site, plan.work, now)) unfrozen.push_back(site);
  if (unfrozen.empty()) unfrozen = sites;
  return {.change = plan.name, .work = plan.work, .sites = std::move(unfrozen), .max_duration = max_duration};
}

// ---- turns -------------------------------------------------------------------------------------

bool StageRunner::give_turns(RolloutRecord& record, Seconds now) {
  const auto& fleet = context_.fleet;
  const auto end = stage_end(record);
  std::map<std::string_view, std::size_t> routers_of_site;
  for (const auto& router : fleet.routers()) ++routers_of_site[router.site];
  std::map<std::string_view, std::size_t> moving_at_site;
  const auto number_at = [&](std::size_t place) { return static_cast<int>(record.order[place]); };
  for (std::size_t place = 0; place < progress_.turns(); ++place)
    if (const int number = number_at(place); progress_.is_unsettled(number))
      ++moving_at_site[fleet.router(number).site];
  const auto before = progress_.turns();
  while (progress_.turns() < end) {
    const int number = number_at(progress_.turns());
    const std::string_view site = fleet.router(number).site;
    if (moving_at_site[site] >= max_moving(record.plan, routers_of_site[site])) break;
    if (progress_.is_unsettled(number)) ++moving_at_site[site];
    progress_.give_turn(number, now);
  }
  record.own.turns = std::max(record.own.turns, progress_.turns());
  return progress_.turns() > before;
}

/// Returns how many routers of the order the stage covers: as many that can move as it needs, and those
/// between them that cannot.
std::size_t StageRunner::stage_end(const RolloutRecord& record) const {
  const auto can_move = [this](std::size_t number) { return progress_.can_move(static_cast<int>(number)); };
  const auto fleet = context_.fleet.size();
  const bool is_last = record.decision.stage == record.stages();
  if (is_last && !holding_back_last_) return fleet;
  auto wanted = record.stage_sizes[record.decision.stage - 1];
  // The last routers wait until the analysis has evaluated the others; without them there would be no
  // control.
  if (is_last && record.stages() > 1) {
    const auto movable = static_cast<std::size_t>(std::ranges::count_if(record.order, can_move));
    wanted = movable - std::min(movable, std::max<std::size_t>(1, fleet / kHeldBackDivisor));
  }
  std::size_t end = 0;
  for (; end < fleet && wanted > 0; ++end)
    if (can_move(record.order[end])) --wanted;
  return end;
}

}  // namespace walkpaddle::rollout
