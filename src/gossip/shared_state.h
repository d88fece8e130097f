/// \file
/// The replicated states of one router as the gossip sees them. No I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "membership/membership.h"
#include "replica/observation_tracker.h"
#include "replica/replicated_state.h"

namespace walkpaddle::gossip {

/// What rumours spread and comparisons compare. The parts must outlive it.
struct SharedState {
  membership::Membership& members;                  ///< the member records
  replica::ObservationTracker& tracker;             ///< the endpoint observations
  std::vector<replica::ReplicatedState*> states{};  ///< the others, each once
  std::uint64_t observations_received = 0;          ///< that were new here

  /// The state of that number; null: it is not known here.
  replica::ReplicatedState* find(std::uint8_t number) const {
    const auto it = std::ranges::find(states, number, [](const auto* state) { return state->number(); });
    return it == states.end() ? nullptr : *it;
  }
};

}  // namespace walkpaddle::gossip
