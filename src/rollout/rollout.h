/// \file
/// One router's part in rollouts. It connects the replicated state, the driver that takes a rollout from
/// stage to stage, the voter that holds this router's promises to drivers, and this router's own moves. No
/// I/O. All calls are made on the scheduler's single thread.
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

/// The status of a rollout as a router knows it, for display.
struct RolloutStatus {
  RolloutPlan plan;          ///< the plan as proposed
  std::uint32_t stage = 0;   ///< the current stage, from 1; 0: none has begun
  std::uint32_t stages = 0;  ///< number of stages
  bool done = false;         ///< whether the whole fleet has the new generation
  bool stopped = false;      ///< whether the rollout is stopped: moved routers go back, no other moves
  std::string why{};         ///< reason for the stop, or what the rollout or this router waits for
  bool drives = false;       ///< whether this router is the driver
  std::size_t turns = 0;     ///< number of routers with a turn, from the start of the order
  std::size_t fleet = 0;     ///< number of routers in the fleet
  std::uint64_t control_requests = 0;  ///< requests of the old generation in the stage; known to the driver
  std::uint64_t canary_requests = 0;   ///< requests of the new generation in the stage; known to the driver
};

/// One router's part in all rollouts, as replicated state that gossip, catch-up and the store transfer.
class Rollout final : public replica::ReplicatedState,
                      private RolloutState::Host,
                      private RolloutDriver::Host {
 public:
  /// Configuration that is fixed at the start.
  struct Setup {
    PlacedRouter self;                ///< this router
    std::vector<PlacedRouter> peers;  ///< the peers, by their member numbers
    std::string generation;           ///< generation that this process runs
    std::uint32_t seed = 0;           ///< seed of the random pauses between elections
    bool durable = false;             ///< whether the router's promises survive a crash
    std::function<bool(int)> alive;   ///< whether a peer is alive according to the membership
    /// Returns why a rollout may not start at this router, or an empty string if it may.
    std::function<std::string(const RolloutPlan&)> refusal;
  };

  /// `calendar` must outlive this object.
  Rollout(const Setup& setup, freeze::Calendar& calendar, const RolloutLimits& limits, Seconds now);
  /// Not copyable: the parts hold references to each other.
  Rollout(const Rollout&) = delete;
  /// Not assignable, for the same reason.
  Rollout& operator=(const Rollout&) = delete;

  /// Proposes a rollout. Returns false if it is known already or refused; a refusal is logged.
  bool propose(const RolloutPlan& plan, Seconds now) { return state_.propose(plan, now); }
  /// Stops a rollout. Returns false if it is stopped already or not known yet; in the latter case it is
  /// stopped as soon as it becomes known.
  bool stop(const std::string& rollout, const std::string& why, Seconds now) {
    return state_.stop(rollout, why, now);
  }
  /// Sets the host's current metrics of the running generation.
  void set_metrics(const RolloutMetrics& metrics) { local_.set_metrics(metrics); }
  /// Returns the move that the host is to carry out, if one is due. To be called after each input and at
  /// next_due().
  std::optional<GenerationMove> next_move(Seconds now) { return local_.next_move(now); }
  /// Reports that the generation of the last move is ready.
  void moved() { local_.moved(); }
  /// Reports that the generation of the last move did not become ready.
  void move_failed(const std::string& why) { local_.move_failed(why); }
  /// Returns the log lines since the last call.
  std::vector<std::string> take_log_lines() { return context_.log.take(); }

  /// The status of all known rollouts, ordered by name.
  std::vector<RolloutStatus> status(Seconds now) const;
  /// The generation that this router runs.
  const std::string& running() const override { return local_.running(); }
  /// The current generation of the fleet, as far as this router knows.
  std::string fleet_generation() const { return state_.fleet_generation(); }
  /// Whether this router is the driver of a rollout.
  bool driving() const { return driver_.is_driving(); }
  /// The greatest term that this router has promised; 0: none.
  std::uint64_t term() const { return voter_.term(); }

  // The interface of replica::ReplicatedState.
  std::uint8_t number() const override { return 1; }        ///< the kind's number on the wire
  std::size_t join_order(std::uint64_t id) const override;  ///< plans before decisions before stops
  bool join(std::string_view bytes, Seconds now) override;  ///< joins an item
  std::optional<replica::ReplicatedMessage> next_message(Seconds now) override;  ///< a request or a report
  void receive(int from, std::string_view bytes, Seconds now) override;          ///< handles a peer's message
  Seconds next_due() const override { return context_.wake.due(); }  ///< when next_message() is due
  std::string private_state() const override;  ///< the promised term and the attempted release
  void restore_private_state(std::string_view bytes) override;  ///< restores private_state()

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
  std::map<ItemKey, std::uint64_t> items_;  // ids of the current items, by key
  std::deque<replica::ReplicatedMessage> outbox_;
  std::uint64_t last_report_sent_ = 0;  // microseconds; see RouterReport
};

}  // namespace walkpaddle::rollout
