/// \file
/// Rumour mongering (Demers et al., 1987): each new record, observation or item is sent to a few random
/// members in each of several rounds. No I/O; called on the scheduler's thread.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "gossip/bounds.h"
#include "gossip/packet.h"
#include "gossip/shared_state.h"

namespace walkpaddle::gossip {

/// The rumours that this router still sends.
class Rumours {
 public:
  /// Whether a datagram uses up one of the rounds of each rumour that it carries.
  enum class Cost : std::uint8_t {
    free,  ///< no, it is sent anyway
    round  ///< yes
  };

  /// `shared` must outlive this.
  Rumours(SharedState& shared, const Bounds& bounds) : shared_(shared), bounds_(bounds) {}

  /// Starts rumours for what changed here since the last call.
  void collect();
  /// Adds as many rumours to the datagram as fit, those with the most rounds left first.
  void add_to(Packet& packet, Cost cost);
  /// Whether there is no rumour to send.
  bool empty() const { return observations_.empty() && records_.empty() && items_.empty(); }

 private:
  using ItemKey = std::pair<std::uint8_t, std::uint64_t>;  // number of the state, id of the item
  template <class Key>
  using RoundsLeft = std::map<Key, int>;
  int rounds() const;
  std::size_t add_items(Packet& packet, Cost cost);

  SharedState& shared_;
  const Bounds bounds_;
  RoundsLeft<replica::ObservationKey> observations_;
  RoundsLeft<std::uint64_t> records_;  // by the member's name
  RoundsLeft<ItemKey> items_;
};

}  // namespace walkpaddle::gossip
