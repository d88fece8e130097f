#include "rollout/voter.h"

#include <algorithm>

namespace walkpaddle::rollout {

namespace {

/// A term is a count times this number plus the candidate's place in the order, so that no two candidates
/// use the same term.
constexpr std::uint64_t kPlacesPerTerm = 1024;

}  // namespace

void Voter::restore_term(std::uint64_t term) { term_ = std::max(term_, term); }

/// Whether this router knows its own promises. Without a store it may have lost one in a restart, which
/// matters until one lease after its start.
bool Voter::knows_its_promises(Seconds now) const {
  return context_.durable || now > context_.started + context_.limits.lease;
}

bool Voter::vote(const RolloutRecord& record, const DriverRequest& request, int from, Seconds now) {
  const bool lease_is_over = now - last_driver_contact_ > context_.limits.lease || promised_to_ == from;
  const bool granted = request.term > term_ && lease_is_over && knows_its_promises(now) && !record.stop;
  if (!granted) return false;
  term_ = request.term;
  promised_to_ = from;
  return true;
}

bool Voter::follow(std::uint64_t term, int from, Seconds now) {
  if (term < term_) return false;
  term_ = term;
  promised_to_ = from;
  last_driver_contact_ = now;
  return true;
}

bool Voter::agree(RolloutRecord& record, std::uint64_t term, std::uint32_t stage, Seconds now) const {
  if (term != term_ || record.stop || stage == 0 || stage > record.decision.stage + 1) return false;
  const Seconds promises_unknown_until = context_.started + (context_.durable ? 0 : context_.limits.lease);
  if (now < promises_unknown_until) return false;
  if (context_.calendar.why_not_current(now)) return false;
  if (!context_.refusal(record.plan).empty()) return false;
  record.own.agreed_stage = std::max(record.own.agreed_stage, stage);
  record.own.agreed_term = term;
  return true;
}

std::uint64_t Voter::stand_for_election(std::size_t place) {
  term_ = (term_ / kPlacesPerTerm + 1) * kPlacesPerTerm + static_cast<std::uint64_t>(place);
  promised_to_ = context_.fleet.self();
  return term_;
}

void Voter::observe_term(std::uint64_t term) { term_ = std::max(term_, term); }

void Voter::limit_driver_silence(Seconds now) {
  last_driver_contact_ = std::max(last_driver_contact_, now - context_.limits.lease);
}

}  // namespace walkpaddle::rollout
