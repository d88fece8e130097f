/// \file
/// The stages of a rollout as an elected driver runs them: it gives the routers their turns, compares the two
/// generations, and decides when the next stage begins and when the rollout stops or is done. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "freeze/calendar.h"
#include "rollout/canary_analysis.h"
#include "rollout/context.h"
#include "rollout/fleet_progress.h"
#include "rollout/replicated_state.h"

namespace walkpaddle::rollout {

/// The action that the driver is to take next.
struct StageAction {
  /// The kinds of actions.
  enum class Step : std::uint8_t {
    wait,
    request_agreement,  ///< ask the fleet to agree to the next stage
    stop,               ///< stop the rollout for the given reason
    finish,             ///< mark the rollout as done: the whole fleet has the new generation
  };
  Step step = Step::wait;  ///< kind of the action
  std::string reason{};    ///< reason for a stop
};

/// Runs the stages of one rollout under one driver.
class StageRunner {
 public:
  /// The states of the driver.
  enum class State : std::uint8_t {
    taking_baseline,       ///< collects the baseline before the first stage
    requesting_agreement,  ///< waits for a majority's agreement to the next stage
    comparing,             ///< compares the generations within a stage
  };

  /// `context` and `progress` must outlive this object.
  StageRunner(const RolloutContext& context, FleetProgress& progress, const RolloutPlan& plan, State state,
              Seconds now);

  /// The current state.
  State state() const { return state_; }
  /// The time at which evaluate() is due.
  Seconds evaluate_at() const { return evaluate_at_; }
  /// Evaluates the reports since the last call and returns the next action.
  StageAction evaluate(const RolloutRecord& record, Seconds now);
  /// Begins the stage that the fleet has agreed to.
  void begin_stage(Seconds now);
  /// Gives turns in the order, so that only a limited share of each site moves at a time. Routers that are
  /// down or held do not count towards the share; they move when they can. Returns whether any router was
  /// given its turn.
  bool give_turns(RolloutRecord& record, Seconds now);

  /// A description of what the rollout waits for; empty if there is no particular reason.
  const std::string& wait_reason() const { return wait_reason_; }
  /// The number of the cohort's requests in the stage.
  std::uint64_t requests(Cohort cohort) const { return analysis_.requests(cohort); }

 private:
  struct RouterCounts {
    std::size_t old_generation = 0;  // including those that are held
    std::size_t new_generation = 0;
    std::size_t held = 0;
  };

  bool must_roll_back(const RolloutRecord& record, Seconds now) const;
  std::vector<CanaryAnalysis::Sample> take_samples(Seconds now);
  std::optional<std::string> reason_to_stop(const RolloutRecord& record, Seconds now) const;
  StageAction advance(const RolloutRecord& record, Seconds now);
  StageAction begin_rollout(const RolloutRecord& record, Seconds now);
  StageAction finish(const RouterCounts& routers, bool all_moved);
  StageAction request_next_stage(const RolloutRecord& record, Seconds now);
  StageAction wait_or_time_out(const RolloutRecord& record, const RouterCounts& routers, Seconds now);
  bool has_enough_requests(const RolloutPlan& plan, const RouterCounts& routers) const;
  RouterCounts count_routers() const;
  std::size_t stage_end(const RolloutRecord& record) const;
  freeze::PlannedChange planned_change(const RolloutPlan& plan, Seconds max_duration, Seconds now) const;

  const RolloutContext& context_;
  FleetProgress& progress_;
  State state_;
  Seconds stage_began_;
  Seconds evaluate_at_;
  std::map<int, RolloutMetrics> last_metrics_;  // by router number, at the last evaluation
  CanaryAnalysis analysis_;
  bool holding_back_last_ = true;  // in the last stage: some routers wait for the analysis
  std::string wait_reason_;
};

}  // namespace walkpaddle::rollout
