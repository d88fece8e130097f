/// \file
/// This router's votes and agreements, by which only one driver takes the fleet's rollout from stage to stage
/// at a time (leases: Gray and Cheriton, 1989; terms: Raft, Ongaro and Ousterhout, 2014). No I/O.
///
/// A router agrees to a stage only under the term that it promised last, and not if it knows of a stop or its
/// calendar is not current. So no stage begins after a majority knows of a stop, and a driver that resumes
/// after a stall changes nothing: its term is fenced off.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "rollout/context.h"
#include "rollout/messages.h"
#include "rollout/replicated_state.h"

namespace walkpaddle::rollout {

/// This router's promise to a driver, and the time since the last contact with a driver.
class Voter {
 public:
  /// `context` must outlive this object.
  Voter(const RolloutContext& context, Seconds now) : context_(context), last_driver_contact_(now) {}

  /// The greatest term that this router has promised; 0: none.
  std::uint64_t term() const { return term_; }
  /// Restores a stored term. The term never decreases, as a promise is never revoked.
  void restore_term(std::uint64_t term);

  /// Decides on a request for this router's vote by the router `from`, and returns whether the vote is
  /// granted.
  bool vote(const RolloutRecord& record, const DriverRequest& request, int from, Seconds now);
  /// Accepts the router `from` as the driver under `term`. Returns false if a later term was promised.
  bool follow(std::uint64_t term, int from, Seconds now);
  /// Decides on a request under `term` to begin `stage`. Returns whether this router agrees, and records the
  /// agreement.
  bool agree(RolloutRecord& record, std::uint64_t term, std::uint32_t stage, Seconds now) const;

  /// Promises the next term to this router itself, which is at `place` in the order, and returns that term.
  std::uint64_t stand_for_election(std::size_t place);
  /// Raises the term to one that another router promised, so that this router's next term is greater.
  void observe_term(std::uint64_t term);

  /// The time of the last contact with a driver, or from which its silence counts.
  Seconds last_driver_contact() const { return last_driver_contact_; }
  /// Makes a driver's silence count from `now`.
  void restart_lease(Seconds now) { last_driver_contact_ = now; }
  /// Limits the silence that has counted up to `now` to one lease.
  void limit_driver_silence(Seconds now);

 private:
  bool knows_its_promises(Seconds now) const;

  const RolloutContext& context_;
  std::uint64_t term_ = 0;
  int promised_to_ = -1;  // number of the router that holds the promise; -1: none
  Seconds last_driver_contact_;
};

}  // namespace walkpaddle::rollout
