#include "rollout/fleet_progress.h"

#include <algorithm>

namespace walkpaddle::rollout {

namespace {

/// Largest delay of a reordered report, in microseconds. A report that seems older than this was sent after a
/// restart, by a clock that was set back.
constexpr std::uint64_t kMaxDelayUs = 5'000'000;

std::size_t count(bool holds) { return holds ? 1 : 0; }

}  // namespace

void FleetProgress::set_own_report(const RouterReport& report, Seconds now) {
  reports_[context_.fleet.self()] = {report, now};
}

bool FleetProgress::receive(int from, const RouterReport& report, std::uint64_t term, Seconds now) {
  auto& [last, at] = reports_[from];
  // Datagrams may be reordered or duplicated. Without this check a late report from before a move, received
  // after a report from the move, would look like a move that failed.
  if (report.sent > 0 && report.sent <= last.sent && last.sent - report.sent < kMaxDelayUs) return false;
  const bool granted = last.vote_granted || (report.vote_granted && report.term == term);
  last = report;
  last.vote_granted = granted;
  at = now;
  note_phase(from, report, now);
  return true;
}

void FleetProgress::note_phase(int from, const RouterReport& report, Seconds now) {
  auto& last = last_phases_.try_emplace(from, report.phase).first->second;
  // A router that was moving and reports the old generation again did not start the new one, even if it has
  // no record of the attempt.
  const bool fell_back = last == RouterPhase::moving && report.phase == RouterPhase::old_generation;
  if (report.phase == RouterPhase::failed || fell_back) failed_.insert(from);
  last = report.phase;
  const auto epoch = report.metrics.epoch;
  const auto move = moves_.find(from);
  if (move == moves_.end()) {
    if (report.phase == RouterPhase::new_generation) moves_[from] = {now, epoch};
    return;
  }
  auto& [moved_at, first_epoch] = move->second;
  if (first_epoch > 0 && epoch > first_epoch && now - moved_at < context_.limits.crash_window)
    failed_.insert(from);
  if (first_epoch == 0) first_epoch = epoch;
}

bool FleetProgress::is_fresh(const TimedReport& report, Seconds now) const {
  return now - report.at <= context_.limits.lease;
}

std::size_t FleetProgress::fresh_reports(Seconds now) const {
  const auto is_fresh_entry = [&](const auto& entry) { return is_fresh(entry.second, now); };
  return static_cast<std::size_t>(std::ranges::count_if(reports_, is_fresh_entry));
}

std::size_t FleetProgress::votes() const {
  const auto granted = [](const auto& entry) { return entry.second.report.vote_granted; };
  return static_cast<std::size_t>(std::ranges::count_if(reports_, granted));
}

std::size_t FleetProgress::agreed_past(std::uint32_t stage, std::uint64_t term) const {
  const auto agreed = [&](const auto& entry) {
    const auto& report = entry.second.report;
    return report.agreed_stage > stage && report.agreed_term == term;
  };
  return static_cast<std::size_t>(std::ranges::count_if(reports_, agreed));
}

std::uint32_t FleetProgress::furthest_agreed() const {
  std::uint32_t furthest = 0;
  for (const auto& [number, timed] : reports_) furthest = std::max(furthest, timed.report.agreed_stage);
  return furthest;
}

void FleetProgress::give_turn(int number, Seconds now) {
  if (context_.fleet.alive(number)) turn_given_at_.try_emplace(number, now);
  ++turns_;
}

bool FleetProgress::can_move(int number) const {
  if (turn_given_at_.contains(number)) return true;
  if (!context_.fleet.alive(number)) return false;
  const auto it = reports_.find(number);
  return it == reports_.end() || it->second.report.phase != RouterPhase::held;
}

bool FleetProgress::is_unsettled(int number) const {
  if (!context_.fleet.alive(number)) return false;
  const auto it = reports_.find(number);
  if (it == reports_.end()) return true;
  const auto phase = it->second.report.phase;
  return phase == RouterPhase::old_generation || phase == RouterPhase::moving;
}

std::size_t FleetProgress::settled(const RolloutRecord& record, Seconds now) const {
  std::size_t settled = 0;
  for (std::size_t place = 0; place < turns_; ++place)
    settled += count(is_settled(static_cast<int>(record.order[place]), record.plan.warm_up, now));
  return settled;
}

bool FleetProgress::is_settled(int number, Seconds warm_up, Seconds now) const {
  if (!context_.fleet.alive(number)) return true;
  const auto it = reports_.find(number);
  if (it != reports_.end()) {
    const auto phase = it->second.report.phase;
    if (phase == RouterPhase::failed || phase == RouterPhase::held) return true;
  }
  const auto move = moves_.find(number);
  return move != moves_.end() && now >= move->second.at + warm_up;
}

std::size_t FleetProgress::failed_starts(const RolloutPlan& plan, Seconds now) const {
  const auto crashed = count_crashed(plan, now);
  return failed_.size() + (is_fleet_wide_failure(crashed) ? 0 : crashed);
}

/// The number of routers that are down and either moved a short time ago, or got their turn and have not
/// reported the new generation in time.
std::size_t FleetProgress::count_crashed(const RolloutPlan& plan, Seconds now) const {
  const auto& fleet = context_.fleet;
  const auto& limits = context_.limits;
  std::size_t crashed = 0;
  for (const auto& [number, move] : moves_)
    crashed += count(!fleet.alive(number) && now - move.at < limits.crash_window + 2 * limits.lease);
  const Seconds timeout = plan.ready_within + limits.lease;
  for (const auto& [number, given] : turn_given_at_)
    crashed += count(!fleet.alive(number) && !moves_.contains(number) && now > given + timeout);
  return crashed;
}

bool FleetProgress::is_fleet_wide_failure(std::size_t crashed) const {
  std::size_t without_turn = 0;
  std::size_t down_without_turn = 0;
  for (int number = 0; number <= context_.fleet.self(); ++number) {
    if (moves_.contains(number) || turn_given_at_.contains(number)) continue;
    ++without_turn;
    down_without_turn += count(!context_.fleet.alive(number));
  }
  const auto with_turn = std::max(moves_.size(), turn_given_at_.size());
  return down_without_turn > 0 && 2 * down_without_turn * with_turn >= crashed * without_turn;
}

}  // namespace walkpaddle::rollout
