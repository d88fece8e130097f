/// \file
/// What a driver knows of each router of the fleet: its last report, when it moved, when its turn came,
/// whether it failed to start. Only the driver hears the others' metrics, with their answers to it; a new
/// driver has them with the first answers, since they are cumulative. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "base/time.h"
#include "rollout/context.h"
#include "rollout/messages.h"
#include "rollout/plan.h"
#include "rollout/replicated_state.h"

namespace walkpaddle::rollout {

/// The routers' progress with one rollout, under one term. Routers go by their numbers in FleetView.
class FleetProgress {
 public:
  /// A report and when it came.
  struct TimedReport {
    RouterReport report;  ///< as it came
    Seconds at = 0;       ///< on this router's clock
  };

  /// `turns`: so many of the order had their turn under earlier drivers. `context` outlives this.
  FleetProgress(const RolloutContext& context, std::size_t turns) : context_(context), turns_(turns) {}

  /// This router's own report.
  void set_own_report(const RouterReport& report, Seconds now);
  /// A report that came under the driver's `term`. False: it was overtaken by a later one, or came twice, and
  /// is passed over.
  bool receive(int from, const RouterReport& report, std::uint64_t term, Seconds now);
  /// Notes who has moved, and who started anew soon after: that is a crash of the new generation.
  void note_phase(int from, const RouterReport& report, Seconds now);

  /// The last report of each router.
  const std::map<int, TimedReport>& reports() const { return reports_; }
  /// Whether the report came within a lease.
  bool is_fresh(const TimedReport& report, Seconds now) const;
  /// How many routers' last reports are fresh.
  std::size_t fresh_reports(Seconds now) const;
  /// How many granted their vote.
  std::size_t votes() const;
  /// How many agreed under `term` to a stage past `stage`.
  std::size_t agreed_past(std::uint32_t stage, std::uint64_t term) const;
  /// The furthest stage that a router agreed to, under whatever term; 0: none.
  std::uint32_t furthest_agreed() const;

  /// So many of the order have had their turn.
  std::size_t turns() const { return turns_; }
  /// The turn goes on by one, to router `number`.
  void give_turn(int number, Seconds now);
  /// Whether a stage counts on the router: those that are down or held do not stand for it, but one that went
  /// down in its turn does, since the rollout may have done it.
  bool can_move(int number) const;
  /// It is alive and has still to move, or is moving.
  bool is_unsettled(int number) const;
  /// How many of those that had their turn have the new generation past its warm-up, or cannot have it.
  std::size_t settled(const RolloutRecord& record, Seconds now) const;
  /// How many failed to become ready, or died soon after their move. None that died are counted where the old
  /// ones die as much: that is a network partition, or another trouble of all.
  std::size_t failed_starts(const RolloutPlan& plan, Seconds now) const;
  /// How many were seen in the new generation.
  std::size_t moved() const { return moves_.size(); }

 private:
  struct Move {
    Seconds at = 0;           // first seen in the new generation
    std::uint64_t epoch = 0;  // then: another one since is another start
  };

  std::size_t died(const RolloutPlan& plan, Seconds now) const;
  bool is_fleet_wide_failure(std::size_t died) const;
  bool is_settled(int number, Seconds warm_up, Seconds now) const;

  const RolloutContext& context_;
  std::size_t turns_;
  std::map<int, TimedReport> reports_;
  std::map<int, Move> moves_;
  std::map<int, RouterPhase> last_phases_;
  std::map<int, Seconds> turn_given_at_;  // when, to one that was alive
  std::set<int> failed_;
};

}  // namespace walkpaddle::rollout
