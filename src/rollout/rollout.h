/// \file
/// One router's part in rollouts, without I/O: it connects the replicated state, the driver that takes a
/// rollout from stage to stage, what this router promises to drivers, and what it is to run itself.
/// Everything is called on the scheduler's one thread.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "freeze/calendar.h"
#include "replica/replicated_state.h"
#include "rollout/context.h"
#include "rollout/driver.h"
#include "rollout/local_router.h"
#include "rollout/metrics.h"
#include "rollout/plan.h"
#include "rollout/replicated_state.h"
#include "rollout/voter.h"

namespace walkpaddle::rollout {

/// What a router knows of a rollout, for people.
struct RolloutStatus {
  RolloutPlan plan;          ///< as it was proposed
  std::uint32_t stage = 0;   ///< from 1; 0: none yet
  std::uint32_t stages = 0;  ///< how many there are
  bool done = false;         ///< the fleet has the new generation
  bool stopped = false;      ///< each router goes back, or stays
  std::string why{};         ///< of a stop; else what it waits for, where this router drives or is held
  bool drives = false;       ///< this router does
  std::size_t turns = 0;     ///< so many may have moved, in the order
  std::size_t fleet = 0;     ///< of so many
  std::uint64_t control_requests = 0;  ///< seen in the stage by the driver, with the old generation
  std::uint64_t canary_requests = 0;   ///< with the new one
};

/// One router's part in all rollouts, as replicated state that gossip, catch-up and the store carry.
class Rollout final : public replica::ReplicatedState,
                      private RolloutState::Host,
                      private RolloutDriver::Host {
 public:
  /// What stands from the start on.
  struct Setup {
    PlacedRouter self;                ///< this router
    std::vector<PlacedRouter> peers;  ///< by their numbers among the members
    std::string generation;           ///< what this process runs
    std::uint32_t seed = 0;           ///< of the pauses between elections
    bool durable = false;             ///< what it promised survives a crash
    std::function<bool(int)> alive;   ///< a peer, as the members know it
    /// Why a rollout may not start here; empty: it may.
    std::function<std::string(const RolloutPlan&)> refusal;
  };

  /// `calendar` outlives this.
  Rollout(const Setup& setup, freeze::Calendar& calendar, const RolloutLimits& limits, Seconds now);
  /// Its parts refer to each other.
  Rollout(const Rollout&) = delete;
  Rollout& operator=(const Rollout&) = delete;

  /// Proposes a rollout. False: it is known, or refused, which the log says.
  bool propose(const RolloutPlan& plan, Seconds now) { return state_.propose(plan, now); }
  /// Stops a rollout. False: it is stopped, or not known yet; then it will be when it comes to be.
  bool stop(const std::string& rollout, const std::string& why, Seconds now) {
    return state_.stop(rollout, why, now);
  }
  /// What the host counts, of the running generation.
  void set_metrics(const RolloutMetrics& metrics) { local_.set_metrics(metrics); }
  /// What the host is to do, if anything; to be asked after each input and at next_due().
  std::optional<GenerationMove> next_move(Seconds now) { return local_.next_move(now); }
  /// What next_move() gave is ready.
  void moved() { local_.moved(); }
  /// What next_move() gave did not become ready.
  void move_failed(const std::string& why) { local_.move_failed(why); }
  /// Lines for the log, each once.
  std::vector<std::string> take_log_lines() { return context_.log.take(); }

  /// All rollouts that are known, by name.
  std::vector<RolloutStatus> status(Seconds now) const;
  /// The generation that this router runs.
  const std::string& running() const override { return local_.running(); }
  /// What the fleet stands at, as far as it is known here.
  std::string fleet_generation() const { return state_.fleet_generation(); }
  /// Whether this router drives a rollout.
  bool driving() const { return driver_.is_driving(); }
  /// The greatest term that this router promised; 0: none.
  std::uint64_t term() const { return voter_.term(); }

  // As replicated state; see replica::ReplicatedState.
  std::uint8_t number() const override { return 1; }                             ///< on the wire
  std::size_t join_order(std::uint64_t id) const override;                       ///< plans, decisions, stops
  bool join(std::string_view bytes, Seconds now) override;                       ///< joins an item
  std::optional<replica::ReplicatedMessage> next_message(Seconds now) override;  ///< to a driver, or from one
  void receive(int from, std::string_view bytes, Seconds now) override;          ///< from a peer
  Seconds next_due() const override { return context_.wake.due(); }              ///< of next_message()
  std::string private_state() const override;                   ///< term and attempted release
  void restore_private_state(std::string_view bytes) override;  ///< as own() gave it

 private:
  void publish(const ItemKey& key, const std::string& bytes) override;
  void withdraw(const ItemKey& key) override;
  void stopped(const std::string& rollout) override { driver_.resign_from(rollout); }
  RouterReport own_report(const RolloutRecord& record, bool vote_granted) const override;
  void send(int peer, const std::string& bytes) override;

  void answer(int from, const DriverRequest& request, Seconds now);
  void follow_driver(RolloutRecord& record, int from, const DriverRequest& request, Seconds now);
  RolloutStatus status_of(const RolloutRecord& record, Seconds now) const;

  RolloutContext context_;
  RolloutState state_;
  LocalRouter local_;
  Voter voter_;
  RolloutDriver driver_;
  std::map<ItemKey, std::uint64_t> items_;  // their present ids
  std::deque<replica::ReplicatedMessage> outbox_;
  std::uint64_t last_report_sent_ = 0;  // microseconds; see RouterReport
};

}  // namespace walkpaddle::rollout
