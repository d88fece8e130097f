/// \file
/// What a driver with a majority does within a stage: it gives turns, compares the two generations, and says
/// when the rollout goes on, stops or is done. No I/O.
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

/// What the driver is to do next.
struct StageAction {
  /// Which step.
  enum class Step : std::uint8_t {
    wait,
    request_agreement,  ///< the fleet, for its agreement to the next stage
    stop,               ///< the rollout, for the reason
    finish,             ///< the whole fleet has the new generation
  };
  Step step = Step::wait;  ///< which
  std::string reason{};    ///< of a stop
};

/// The stages of one rollout, under one driver.
class StageRunner {
 public:
  /// What the driver is at.
  enum class State : std::uint8_t {
    taking_baseline,       ///< takes the baseline, before the first stage
    requesting_agreement,  ///< for agreement to the next stage
    comparing,             ///< compares within a stage
  };

  /// `context` and `progress` outlive this.
  StageRunner(const RolloutContext& context, FleetProgress& progress, const RolloutPlan& plan, State state,
              Seconds now);

  /// What the driver is at.
  State state() const { return state_; }
  /// When evaluate() is due.
  Seconds evaluate_at() const { return evaluate_at_; }
  /// Takes what came since the last call, and says what follows.
  StageAction evaluate(const RolloutRecord& record, Seconds now);
  /// The stage that the driver asked for is decided.
  void begin_stage(Seconds now);
  /// Gives turns in the order, at most a share of each site moving at a time; who is down or held is passed
  /// over and takes its turn when it can. True: somebody has the turn who did not.
  bool give_turns(RolloutRecord& record, Seconds now);

  /// What the rollout waits for, in words; empty: for nothing in particular.
  const std::string& wait_reason() const { return wait_reason_; }
  /// Requests seen in the stage.
  std::uint64_t requests(Cohort cohort) const { return analysis_.requests(cohort); }

 private:
  struct RouterCounts {
    std::size_t old_generation = 0;  // the held ones too
    std::size_t new_generation = 0;
    std::size_t held = 0;
  };

  bool must_roll_back(const RolloutRecord& record, Seconds now) const;
  std::vector<CanaryAnalysis::Sample> take_samples(Seconds now);
  std::optional<std::string> reason_to_stop(const RolloutRecord& record, Seconds now) const;
  StageAction advance(const RolloutRecord& record, Seconds now);
  StageAction begin(const RolloutRecord& record, Seconds now);
  StageAction finish(const RouterCounts& routers, bool all_moved);
  StageAction request_next_stage(const RolloutRecord& record, Seconds now);
  StageAction wait_or_time_out(const RolloutRecord& record, const RouterCounts& routers, Seconds now);
  bool has_enough_requests(const RolloutPlan& plan, const RouterCounts& routers) const;
  RouterCounts count_routers() const;
  std::size_t stage_end(const RolloutRecord& record) const;
  freeze::PlannedChange planned_change(const RolloutPlan& plan, Seconds worst, Seconds now) const;

  const RolloutContext& context_;
  FleetProgress& progress_;
  State state_;
  Seconds stage_began_;
  Seconds evaluate_at_;
  std::map<int, RolloutMetrics> last_metrics_;  // by router, as the analysis last had them
  CanaryAnalysis analysis_;
  bool holding_back_last_ = true;  // the last of the last stage wait for the analysis
  std::string wait_reason_;
};

}  // namespace walkpaddle::rollout
