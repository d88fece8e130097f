/// \file
/// What this router runs and is to run: its moves forth, in its turn, and back after a stop. A rollback needs
/// no driver: each router goes back at its own time, newest first, by its place in the order, so that no
/// crash holds it up and not all go at once. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "rollout/context.h"
#include "rollout/messages.h"
#include "rollout/plan.h"
#include "rollout/replicated_state.h"

namespace walkpaddle::rollout {

/// What the host is to do: run the generation `to` from now on.
struct GenerationMove {
  std::string to;            ///< the generation
  RolloutPlan plan;          ///< of the rollout that it belongs to
  bool is_rollback = false;  ///< back to what was before
};

/// This router's part in all rollouts, as one that moves.
class LocalRouter {
 public:
  /// `generation`: what this process runs. The references outlive this.
  LocalRouter(RolloutContext& context, RolloutState& state, std::string generation);

  /// The next move, if one is due: the host carries it out and reports by moved() or move_failed().
  std::optional<GenerationMove> next_move(Seconds now);
  /// What next_move() gave is ready.
  void moved();
  /// What next_move() gave did not become ready.
  void move_failed(const std::string& why);

  /// The generation that this router runs.
  const std::string& running() const { return running_; }
  /// Where this router stands with a rollout.
  RouterPhase phase(const RolloutRecord& record) const;
  /// What the host counted last; of the running generation.
  void set_metrics(const RolloutMetrics& metrics) { metrics_ = metrics; }
  /// As set_metrics() left it; empty after a move.
  const RolloutMetrics& metrics() const { return metrics_; }

  /// The rollout for whose release this router's process ends, or last ended: it goes to the store, so that a
  /// release that does not start is tried once. Empty: none.
  const std::string& attempted_release() const;
  /// As it was stored.
  void restore_attempted_release(std::string_view rollout) { attempted_release_ = rollout; }

 private:
  void clear_completed_release();
  std::optional<Seconds> rollback_at(const RolloutRecord& record) const;
  bool may_move(const RolloutRecord& record) const;
  std::string hold_reason(const RolloutRecord& record, Seconds now) const;
  bool failed(const RolloutRecord& record) const;
  const GenerationMove& begin_move(const RolloutRecord& record, bool is_rollback);

  RolloutContext& context_;
  RolloutState& state_;
  std::string running_;
  std::optional<GenerationMove> moving_;
  RolloutMetrics metrics_;
  std::string attempted_release_;
};

}  // namespace walkpaddle::rollout
