/// \file
/// The driver of a rollout: the one router that takes it from stage to stage, by a lease and a majority's
/// votes. No I/O.
///
/// The next stage begins only with a majority's agreement: the driver requests it, and a router agrees under
/// the term that it promised (voter.h). A driver's lease is renewed by its requests. When they stop for a
/// lease or longer, the live router that is last in the order of the rollout asks for votes first, under the
/// next term. No two routers use the same term. The protocol is modelled in models/rollout.pml.
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

/// This router's part as the driver of a rollout, or as a candidate.
class RolloutDriver {
 public:
  /// The interface to the router, which must outlive the driver.
  class Host {
   public:
    virtual ~Host() = default;
    /// Returns this router's own report on the rollout.
    virtual RouterReport own_report(const RolloutRecord& record, bool vote_granted) const = 0;
    /// Sends an encoded request to the peer with the given number.
    virtual void send(int peer, const std::string& bytes) = 0;
  };

  /// All references must outlive the driver. `seed` seeds the random pauses between elections.
  RolloutDriver(RolloutContext& context, RolloutState& state, Voter& voter, Host& host, std::uint32_t seed,
                Seconds now);

  /// Does what is due. To be called at the context's wake time or earlier.
  void step(Seconds now);
  /// Handles a report on the rollout that this router drives or is a candidate for.
  void receive(int from, const RouterReport& report, Seconds now);
  /// Ends this router's part as driver or candidate, as another router drives or the rollout is over.
  void resign() { drive_.reset(); }
  /// Resigns if `rollout` is the one that this router drives.
  void resign_from(const std::string& rollout);

  /// Whether this router is the driver: a majority voted for it.
  bool is_driving() const { return drive_ && drive_->stages; }
  /// The message_id() of the rollout that this router drives or is a candidate for; 0: none.
  std::uint64_t driven_id() const { return drive_ ? message_id(drive_->rollout) : 0; }
  /// The stage runner of `rollout`, or nullptr if this router does not drive it.
  const StageRunner* stages_of(const std::string& rollout) const;

 private:
  struct Drive {
    std::string rollout;
    Seconds election_started = 0;
    Seconds request_at = 0;
    FleetProgress progress;
    std::optional<StageRunner> stages{};  // nullopt: a candidate that is not elected yet
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
