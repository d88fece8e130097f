/// \file
/// What is new here goes round by rumour mongering (Demers et al., 1987): each rumour is sent for some rounds
/// to a few members drawn by chance. No I/O; called on the scheduler's thread.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "gossip/bounds.h"
#include "gossip/packet.h"
#include "gossip/shared_state.h"

namespace walkpaddle::gossip {

/// The rumours that still go round.
class Rumours {
 public:
  /// Whether a datagram counts as one of a rumour's rounds.
  enum class Cost : std::uint8_t {
    free,  ///< rides on a datagram that goes anyway
    round
  };

  /// `shared` must outlive this.
  Rumours(SharedState& shared, const Bounds& bounds) : shared_(shared), bounds_(bounds) {}

  /// Takes up what changed here since the last call.
  void collect();
  /// Adds as many as have room, those least often sent first.
  void add_to(Packet& packet, Cost cost);
  /// Whether none goes round.
  bool empty() const { return observations_.empty() && records_.empty() && items_.empty(); }

 private:
  using ItemKey = std::pair<std::uint8_t, std::uint64_t>;  // number of the state, id
  template <class Key>
  using RoundsLeft = std::map<Key, int>;
  int rounds() const;
  std::size_t add_items(Packet& packet, Cost cost);

  SharedState& shared_;
  const Bounds bounds_;
  RoundsLeft<replica::ObservationKey> observations_;
  RoundsLeft<std::uint64_t> records_;  // by member
  RoundsLeft<ItemKey> items_;
};

}  // namespace walkpaddle::gossip
