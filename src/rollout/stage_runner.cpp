#include "rollout/stage_runner.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace walkpaddle::rollout {

namespace {

using freeze::Action;
using Outcome = freeze::Permission::Outcome;
using Step = StageAction::Step;

/// Of the fleet, one router at least: those who are held back in the last stage, for comparison.
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

void StageRunner::stage_begins(Seconds now) {
  state_ = State::judging;
  stage_began_ = now;
  evaluate_at_ = now;
  last_held_back_ = true;
  waits_.clear();
  analysis_.begin_stage();
}

// ---- the comparison ----------------------------------------------------------------------------

StageAction StageRunner::evaluate(const RolloutRecord& record, Seconds now) {
  evaluate_at_ = now + context_.limits.request_interval;
  if (must_go_back(record, now))
    return {Step::stop,
            "overtaken by a freeze window that was declared late: it goes back while there is time"};
  const auto samples = take_samples(now);
  if (state_ != State::watching) {
    analysis_.add_interval(samples);
    if (auto reason = reason_to_stop(record, now)) return {Step::stop, std::move(*reason)};
  }
  return advance(record, now);
}

bool StageRunner::must_go_back(const RolloutRecord& record, Seconds now) const {
  if (record.decision.stage == 0) return false;
  const auto fleet = context_.fleet.size();
  const auto& plan = record.plan;
  const Seconds rest = max_rollout_duration(plan, fleet) - plan.max_stage_time * record.decision.stage;
  return context_.calendar.late_window_effect(planned_change(plan, rest, now),
                                              max_rollback_duration(plan, fleet),
                                              now) == freeze::LateWindowEffect::rolls_back;
}

/// What has come since the last call, of each router whose metrics are of one epoch and one generation.
std::vector<CanaryAnalysis::Sample> StageRunner::take_samples(Seconds now) {
  std::vector<CanaryAnalysis::Sample> samples;
  for (const auto& [number, timed] : progress_.reports()) {
    const auto& metrics = timed.report.metrics;
    if (!progress_.is_fresh(timed, now) || metrics.epoch == 0) continue;
    if (timed.report.phase == RouterPhase::moving) continue;
    const bool is_canary = timed.report.phase == RouterPhase::new_generation;
    const auto router = context_.fleet.router(number).router;
    auto& last = compared_[number];
    const bool baseline_only = state_ == State::watching && !is_canary;
    const bool is_first = last.epoch == 0 && !is_canary;
    if (!baseline_only && is_first) {
      analysis_.add_baseline(router, metrics);  // a driver that came later: its past so far
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
    return std::to_string(failed) + " of the routers that moved did not become ready, or died soon after";
  if (analysis_.verdict() == CanaryVerdict::worse) return analysis_.reason();
  return std::nullopt;
}

// ---- from stage to stage -----------------------------------------------------------------------

/// Goes on, waits or stops: past what a stage needs, with leave of the calendar, and no doubt left.
StageAction StageRunner::advance(const RolloutRecord& record, Seconds now) {
  if (state_ == State::asking) return {};
  if (record.decision.stage == 0) return begin(record, now);
  const auto& plan = record.plan;
  const auto routers = count_routers();
  const bool is_last = record.decision.stage == record.stages();
  const bool all_moved = progress_.settled(record, now) == progress_.turns();
  if (is_last && progress_.turns() == context_.fleet.size()) return finish(routers, all_moved);
  const bool ready = now >= stage_began_ + plan.min_stage_time && all_moved && routers.new_generation > 0;
  const bool in_doubt = analysis_.verdict() == CanaryVerdict::inconclusive;
  if (!ready || in_doubt || !has_seen_enough(plan, routers)) return wait_or_time_out(record, routers, now);
  if (!is_last) return ask_to_go_on(record, now);
  last_held_back_ = false;
  return {};
}

/// Before the first router moves the baseline of all is taken; what a router reads is known by then.
StageAction StageRunner::begin(const RolloutRecord& record, Seconds now) {
  const auto& plan = record.plan;
  const auto refused = context_.refusal(plan);
  const Seconds worst = max_rollout_duration(plan, context_.fleet.size());
  const auto permission = context_.calendar.decide(Action::propose, planned_change(plan, worst, now), now);
  waits_ = refused.empty() ? permission.why : refused;
  if (now < stage_began_ + plan.min_stage_time) return {};
  if (!refused.empty() || permission.outcome == Outcome::never) return {Step::stop, "refused: " + waits_};
  if (!permission.allowed()) return {};
  for (const auto& [number, metrics] : compared_)
    analysis_.add_baseline(context_.fleet.router(number).router, metrics);
  state_ = State::asking;
  return {Step::ask};
}

StageAction StageRunner::finish(const RouterCounts& routers, bool all_moved) {
  if (all_moved && routers.old_generation == 0) return {Step::finish};
  waits_.clear();
  if (routers.held > 0)
    waits_ = std::to_string(routers.held) + " routers are held by a freeze window at their site";
  return {};
}

StageAction StageRunner::ask_to_go_on(const RolloutRecord& record, Seconds now) {
  const auto& plan = record.plan;
  const Seconds worst = plan.max_stage_time + max_rollback_duration(plan, context_.fleet.size());
  const auto permission = context_.calendar.decide(Action::next_stage, planned_change(plan, worst, now), now);
  if (!permission.allowed()) {
    waits_ = permission.why;
    return {};
  }
  waits_.clear();
  state_ = State::asking;
  return {Step::ask};
}

StageAction StageRunner::wait_or_time_out(const RolloutRecord& record, const RouterCounts& routers,
                                          Seconds now) {
  const auto& plan = record.plan;
  const bool in_doubt = analysis_.verdict() == CanaryVerdict::inconclusive;
  waits_ = in_doubt ? "in doubt: " + analysis_.reason() : "";
  if (now < stage_began_ + plan.max_stage_time || routers.held > 0) return {};
  if (in_doubt) return {Step::stop, "still in doubt after its longest time: " + analysis_.reason()};
  return {Step::stop, "too little was seen in the longest time of stage " +
                          std::to_string(record.decision.stage) + ": " +
                          std::to_string(requests(Cohort::canary)) + " txns with the new generation, " +
                          std::to_string(requests(Cohort::control)) + " with the old, " +
                          std::to_string(plan.min_requests) + " wanted"};
}

bool StageRunner::has_seen_enough(const RolloutPlan& plan, const RouterCounts& routers) const {
  if (requests(Cohort::canary) < plan.min_requests) return false;
  return routers.old_generation == 0 || requests(Cohort::control) >= plan.min_requests;
}

/// How many stand for the two sides now.
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

/// Asks for the sites that are not frozen now: a frozen one holds its own routers, and the others go on
/// without it. Where all are, all are asked for.
freeze::PlannedChange StageRunner::planned_change(const RolloutPlan& plan, Seconds worst, Seconds now) const {
  const auto& sites = context_.fleet.sites();
  std::vector<std::string> open;
  for (const auto& site : sites)
    if (!context_.calendar.is_site_frozen(site, plan.work, now)) open.push_back(site);
  if (open.empty()) open = sites;
  return {.change = plan.name, .work = plan.work, .sites = std::move(open), .max_duration = worst};
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

/// How many of the order the stage reaches: so many that can move, and those between them.
std::size_t StageRunner::stage_end(const RolloutRecord& record) const {
  const auto can_move = [this](std::size_t number) { return progress_.can_move(static_cast<int>(number)); };
  const auto fleet = context_.fleet.size();
  const bool is_last = record.decision.stage == record.stages();
  if (is_last && !last_held_back_) return fleet;
  auto wanted = record.stage_sizes[record.decision.stage - 1];
  // The last of all wait until the analysis has seen what the rest do: else nobody is left to compare with.
  if (is_last && record.stages() > 1) {
    const auto able = static_cast<std::size_t>(std::ranges::count_if(record.order, can_move));
    wanted = able - std::min(able, std::max<std::size_t>(1, fleet / kHeldBackDivisor));
  }
  std::size_t end = 0;
  for (; end < fleet && wanted > 0; ++end)
    if (can_move(record.order[end])) --wanted;
  return end;
}

}  // namespace walkpaddle::rollout
