/// \file
/// The driver of a rollout: one router, by a lease and a majority's votes, takes it from stage to stage. No
/// I/O.
///
/// *Going on* needs a majority: the driver asks, a router agrees under the term that it promised (voter.h). A
/// driver is alive while it asks; past a lease of silence the router that is to change last of those alive
/// asks for the next term. Terms are unique to who asks. The model is models/rollout.pml.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "base/time.h"
#include "rollout/context.h"
#include "rollout/fleet_progress.h"
#include "rollout/messages.h"
#include "rollout/replicated_state.h"
#include "rollout/stage_runner.h"
#include "rollout/voter.h"

namespace walkpaddle::rollout {

/// This router's part as the driver, or as one that wants to be.
class RolloutDriver {
 public:
  /// What the driver needs of its router; outlives the driver.
  class Host {
   public:
    virtual ~Host() = default;
    /// This router's own report.
    virtual RouterReport own_report(const RolloutRecord& record, bool vote_granted) const = 0;
    /// Sends a request to a peer, by its number.
    virtual void send(int peer, const std::string& bytes) = 0;
  };

  /// All references outlive the driver. `seed`: of the pauses between elections.
  RolloutDriver(RolloutContext& context, RolloutState& state, Voter& voter, Host& host, std::uint32_t seed,
                Seconds now);

  /// What is due; to be called at the context's wake time or earlier.
  void step(Seconds now);
  /// A report that came on the rollout that this router drives.
  void receive(int from, const RouterReport& report, Seconds now);
  /// Another drives, or the rollout is over.
  void resign() { drive_.reset(); }
  /// Resigns if it is `rollout` that this router drives.
  void resign_from(const std::string& rollout);

  /// Whether a majority voted for this router.
  bool is_driving() const { return drive_ && drive_->stages; }
  /// The rollout that this router drives, or wants to, by its message_id(); 0: none.
  std::uint64_t driven_id() const { return drive_ ? message_id(drive_->rollout) : 0; }
  /// The stages of `rollout`; nullptr: this router does not drive it.
  const StageRunner* stages_of(const std::string& rollout) const;

 private:
  struct Drive {
    std::string rollout;
    Seconds since = 0;  // the election
    Seconds request_at = 0;
    FleetProgress progress;
    std::optional<StageRunner> stages{};  // nullopt: not elected yet
    bool is(StageRunner::State state) const { return stages && stages->state() == state; }
  };

  void try_election(RolloutRecord& record, Seconds now);
  bool may_stand_for_election(const RolloutRecord& record, Seconds now) const;
  void drive(RolloutRecord& record, Seconds now);
  bool confirm_role(RolloutRecord& record, Seconds now);
  void become_driver(RolloutRecord& record, Seconds now);
  void evaluate(RolloutRecord& record, Seconds now);
  void conclude_agreement(RolloutRecord& record, Seconds now);
  void request(RolloutRecord& record, Seconds now);

  RolloutContext& context_;
  RolloutState& state_;
  Voter& voter_;
  Host& host_;
  std::mt19937 random_;
  Seconds stepped_at_;
  Seconds next_election_;
  std::optional<Drive> drive_;
};

}  // namespace walkpaddle::rollout
