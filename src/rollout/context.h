/// \file
/// What the parts of one router's rollouts share: bounds, the fleet, the calendar, the lines for the log, and
/// when the next step is due. No I/O. Rollout owns it, and it outlives the parts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "freeze/calendar.h"
#include "rollout/fleet_view.h"
#include "rollout/plan.h"

namespace walkpaddle::rollout {

/// Longest name of a rollout that is kept.
constexpr std::size_t kMaxRolloutNameBytes = 64;
/// Reasons of stops and of failed moves are cut to so much.
constexpr std::size_t kMaxReasonBytes = 200;

/// Times and bounds of the protocol; the same at all routers.
struct RolloutLimits {
  Seconds request_interval = 2;  ///< between a driver's requests: 300 answers of 200 bytes each
  Seconds retry_interval = 0.5;  ///< between requests for a vote, or for agreement to go on
  Seconds lease = 6;             ///< three requests lost
  std::size_t rollouts = 32;     ///< that are known at a time
  double failed_share = 0.02;    ///< of those moved that may fail to start, past the first stage
  Seconds crash_window = 30;     ///< a router that dies so soon after its move failed to start
};

/// Lines for the log, until the host takes them.
class RolloutLog {
 public:
  /// "change NAME: TEXT". Past kMaxLines lines that nobody took it is lost.
  void add(std::string_view rollout, std::string_view text) {
    if (lines_.size() >= kMaxLines) return;
    std::string line = "change ";
    line += rollout;
    line += ": ";
    line += text;
    lines_.push_back(std::move(line));
  }
  /// The lines since the last call.
  std::vector<std::string> take() { return std::exchange(lines_, {}); }

 private:
  static constexpr std::size_t kMaxLines = 64;
  std::vector<std::string> lines_;
};

/// When the next step is due.
class WakeTime {
 public:
  /// Due now.
  explicit WakeTime(Seconds now) : due_(now) {}
  void set(Seconds due) { due_ = due; }  ///< at that time
  void at_once() { due_ = 0; }           ///< as soon as may be
  void no_later_than(Seconds due) {
    due_ = std::min(due_, due);
  }                                     ///< at that time, or as it stands if earlier
  Seconds due() const { return due_; }  ///< on the host's clock

 private:
  Seconds due_;
};

/// What the parts share.
struct RolloutContext {
  RolloutLimits limits;        ///< the same at all routers
  FleetView fleet;             ///< who takes part
  freeze::Calendar& calendar;  ///< outlives the rollouts
  /// Why a rollout may not start here; empty: it may.
  std::function<std::string(const RolloutPlan&)> refusal;
  Seconds started = 0;   ///< when this router started
  bool durable = false;  ///< what it promised survives a crash
  WakeTime wake;         ///< of the next step
  RolloutLog log{};      ///< for the host
};

}  // namespace walkpaddle::rollout
