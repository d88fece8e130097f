/// \file
/// The context that the parts of one router's rollouts share: limits, the fleet, the freeze calendar, pending
/// log lines, and the time of the next step. No I/O. Rollout owns the context, which outlives the parts.
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

/// Maximum length of a rollout's name where it is stored without a plan, in bytes.
constexpr std::size_t kMaxRolloutNameBytes = 64;
/// Maximum length of the reason for a stop or a failed move, in bytes; longer ones are truncated.
constexpr std::size_t kMaxReasonBytes = 200;

/// Times and limits of the protocol. They are the same at all routers.
struct RolloutLimits {
  Seconds request_interval = 2;  ///< between a driver's requests; each brings up to 300 answers of 200 bytes
  Seconds retry_interval = 0.5;  ///< between requests for votes, or for agreement to the next stage
  Seconds lease = 6;             ///< a driver's lease: three request intervals
  std::size_t rollouts = 32;     ///< maximum number of rollouts that a router knows
  double failed_share = 0.02;    ///< share of the moved routers that may fail to start, after the first stage
  Seconds crash_window = 30;     ///< a router that crashes within this time after its move failed to start
};

/// Log lines that wait for the host to take them.
class RolloutLog {
 public:
  /// Adds the line "change NAME: TEXT". It is dropped while kMaxLines lines are waiting.
  void add(std::string_view rollout, std::string_view text) {
    if (lines_.size() >= kMaxLines) return;
    std::string line = "change ";
    line += rollout;
    line += ": ";
    line += text;
    lines_.push_back(std::move(line));
  }
  /// Returns the lines that were added since the last call.
  std::vector<std::string> take() { return std::exchange(lines_, {}); }

 private:
  static constexpr std::size_t kMaxLines = 64;
  std::vector<std::string> lines_;
};

/// The time at which the next step is due.
class WakeTime {
 public:
  /// The first step is due at `now`.
  explicit WakeTime(Seconds now) : due_(now) {}
  void set(Seconds due) { due_ = due; }  ///< sets the time
  void at_once() { due_ = 0; }           ///< makes the step due immediately
  /// Brings the time forward to `due` if it is later.
  void no_later_than(Seconds due) { due_ = std::min(due_, due); }
  Seconds due() const { return due_; }  ///< the time, on the host's clock

 private:
  Seconds due_;
};

/// The state and configuration that the parts share.
struct RolloutContext {
  RolloutLimits limits;        ///< the same at all routers
  FleetView fleet;             ///< the routers that take part
  freeze::Calendar& calendar;  ///< must outlive the context
  /// Returns why a rollout may not start at this router, or an empty string if it may.
  std::function<std::string(const RolloutPlan&)> refusal;
  Seconds started = 0;   ///< when this router started
  bool durable = false;  ///< whether the router's promises survive a crash
  WakeTime wake;         ///< when the next step is due
  RolloutLog log{};      ///< lines that the host writes to the log
};

}  // namespace walkpaddle::rollout
