/// \file
/// What this router promises to drivers and agrees to: one driver moves a fleet at a time (leases: Gray and
/// Cheriton, 1989; terms: Raft, Ongaro and Ousterhout, 2014). No I/O.
///
/// A router agrees under the term that it promised last, unless it knows a stop, is not current, or was asked
/// under an earlier term. So after a majority knows a stop nothing goes on, and a driver that wakes late
/// moves nothing: its term is fenced off.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "rollout/context.h"
#include "rollout/messages.h"
#include "rollout/replicated_state.h"

namespace walkpaddle::rollout {

/// This router's promise and its patience with a silent driver.
class Voter {
 public:
  /// `context` outlives this.
  Voter(const RolloutContext& context, Seconds now) : context_(context), last_driver_contact_(now) {}

  /// The greatest term that this router promised; 0: none.
  std::uint64_t term() const { return term_; }
  /// As it was stored: a promise is never taken back.
  void restore_term(std::uint64_t term);

  /// `from` asks for this router's vote; whether it has it.
  bool vote(const RolloutRecord& record, const DriverRequest& request, int from, Seconds now);
  /// `from` asks as the driver of `term`; false: a later one was promised.
  bool follow(std::uint64_t term, int from, Seconds now);
  /// Whether this router lets the rollout go on to `stage`, asked under `term`; it then stands in the record.
  bool agree(RolloutRecord& record, std::uint64_t term, std::uint32_t stage, Seconds now) const;

  /// Promises the next term to this router itself, which is at `place` in the order; gives the term.
  std::uint64_t stand_for_election(std::size_t place);
  /// Another router promised more: the next term is past it.
  void observe_term(std::uint64_t term);

  /// Since when no driver was heard.
  Seconds last_driver_contact() const { return last_driver_contact_; }
  /// A driver's silence counts from `now` on.
  void restart_lease(Seconds now) { last_driver_contact_ = now; }
  /// A driver's silence counts for a lease at most, up to `now`.
  void limit_driver_silence(Seconds now);

 private:
  bool knows_its_promises(Seconds now) const;

  const RolloutContext& context_;
  std::uint64_t term_ = 0;
  int promised_to_ = -1;  // number of the router; -1: nobody
  Seconds last_driver_contact_;
};

}  // namespace walkpaddle::rollout
