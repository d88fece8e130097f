/// \file
/// The state that a driver keeps for each router of the fleet: its last report, when it moved, when it was
/// given its turn, and whether it failed to start. Only the driver receives the other routers' metrics, with
/// their reports. They are cumulative, so a new driver has them with the first reports. No I/O.
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

/// The progress of the routers with one rollout, under one term. Routers are identified by their numbers in
/// FleetView.
class FleetProgress {
 public:
  /// A report with the time of its receipt.
  struct TimedReport {
    RouterReport report;  ///< the report as received
    Seconds at = 0;       ///< time of receipt on this router's clock
  };

  /// `turns`: the number of routers, from the start of the order, that got their turn under earlier drivers.
  /// `context` must outlive this object.
  FleetProgress(const RolloutContext& context, std::size_t turns) : context_(context), turns_(turns) {}

  /// Stores this router's own report.
  void set_own_report(const RouterReport& report, Seconds now);
  /// Stores a report that was received while driving under `term`. Returns false if the report was ignored
  /// because it is a duplicate or older than the last one.
  bool receive(int from, const RouterReport& report, std::uint64_t term, Seconds now);
  /// Records whether the router has moved, has failed to move, or has restarted soon after its move, which
  /// counts as a crash of the new generation.
  void note_phase(int from, const RouterReport& report, Seconds now);

  /// The last report of each router, by its number.
  const std::map<int, TimedReport>& reports() const { return reports_; }
  /// Whether the report was received within the last lease.
  bool is_fresh(const TimedReport& report, Seconds now) const;
  /// The number of routers whose last report is fresh.
  std::size_t fresh_reports(Seconds now) const;
  /// The number of routers that granted their vote.
  std::size_t votes() const;
  /// The number of routers that agreed under `term` to a stage later than `stage`.
  std::size_t agreed_past(std::uint32_t stage, std::uint64_t term) const;
  /// The latest stage that any router agreed to, under any term; 0: none.
  std::uint32_t furthest_agreed() const;

  /// The number of routers, from the start of the order, that have been given their turn: they may move.
  std::size_t turns() const { return turns_; }
  /// Gives the next turn in the order, which is that of router `number`.
  void give_turn(int number, Seconds now);
  /// Whether the router counts towards the size of a stage. Routers that are down or held do not, but one
  /// that was alive when it got its turn does: if it is down now, the rollout may be the cause.
  bool can_move(int number) const;
  /// Whether the router is alive and has yet to move or is moving.
  bool is_unsettled(int number) const;
  /// The number of routers with a turn that either run the new generation and have warmed up, or cannot move
  /// (down, failed or held).
  std::size_t settled(const RolloutRecord& record, Seconds now) const;
  /// The number of routers that did not become ready or crashed soon after their move. Routers that are down
  /// are not counted if the routers without a turn are down at least half as often: that indicates a
  /// network partition or another fault of the whole fleet.
  std::size_t failed_starts(const RolloutPlan& plan, Seconds now) const;
  /// The number of routers that have reported the new generation.
  std::size_t moved() const { return moves_.size(); }

 private:
  struct Move {
    Seconds at = 0;           // when the router first reported the new generation
    std::uint64_t epoch = 0;  // its metrics epoch then; a later epoch means that it restarted
  };

  std::size_t count_crashed(const RolloutPlan& plan, Seconds now) const;
  bool is_fleet_wide_failure(std::size_t crashed) const;
  bool is_settled(int number, Seconds warm_up, Seconds now) const;

  const RolloutContext& context_;
  std::size_t turns_;
  std::map<int, TimedReport> reports_;
  std::map<int, Move> moves_;
  std::map<int, RouterPhase> last_phases_;
  std::map<int, Seconds> turn_given_at_;  // of the routers that were alive then
  std::set<int> failed_;
};

}  // namespace walkpaddle::rollout
