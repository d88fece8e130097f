/// \file
/// All replicated state of one router, as gossip uses it. No I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "membership/membership.h"
#include "replica/observation_tracker.h"
#include "replica/replicated_state.h"

namespace walkpaddle::gossip {

/// The state that rumours spread and comparisons compare. What it refers to must outlive it.
struct SharedState {
  membership::Membership& members;                  ///< the member records
  replica::ObservationTracker& tracker;             ///< the endpoint observations
  std::vector<replica::ReplicatedState*> states{};  ///< further kinds of state, each once
  std::uint64_t observations_received = 0;          ///< how many were received and new here

  /// The further state with that number; null if it is unknown here.
  replica::ReplicatedState* find(std::uint8_t number) const {
    const auto it = std::ranges::find(states, number, [](const auto* state) { return state->number(); });
    return it == states.end() ? nullptr : *it;
  }
};

}  // namespace walkpaddle::gossip
