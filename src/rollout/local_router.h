/// \file
/// The generation that this router runs and is to run: its move to the new generation when it has its turn,
/// and back after a stop. A rollback needs no driver: each router goes back at a time that follows from its
/// place in the order, the last moved first. So no crash delays the rollback, and the routers do not all go
/// back at the same time. No I/O.
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

/// A move that the host is to carry out: to run the generation `to` from now on.
struct GenerationMove {
  std::string to;            ///< name of the generation
  RolloutPlan plan;          ///< plan of the rollout that the move belongs to
  bool is_rollback = false;  ///< whether `to` is the generation before the rollout
};

/// The moves of this router, for all rollouts.
class LocalRouter {
 public:
  /// `generation` is the one that this process runs. The references must outlive this object.
  LocalRouter(RolloutContext& context, RolloutState& state, std::string generation);

  /// Returns the next move if one is due. The host carries it out and then calls moved() or move_failed().
  std::optional<GenerationMove> next_move(Seconds now);
  /// Reports that the generation of the last move is ready.
  void moved();
  /// Reports that the generation of the last move did not become ready.
  void move_failed(const std::string& why);

  /// The name of the generation that this router runs.
  const std::string& running() const { return running_; }
  /// This router's phase in a rollout.
  RouterPhase phase(const RolloutRecord& record) const;
  /// Sets the current metrics of the running generation.
  void set_metrics(const RolloutMetrics& metrics) { metrics_ = metrics; }
  /// The metrics from the last set_metrics(); empty after a move until they are set again.
  const RolloutMetrics& metrics() const { return metrics_; }

  /// The name of the rollout for whose release this process ends, or an earlier one ended; empty: none. It is
  /// persisted, so that a release that does not start is tried only once.
  const std::string& attempted_release() const;
  /// Restores the value of attempted_release() from the store.
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
