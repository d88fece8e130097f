/// \file
/// Digests of all replicated state, one for each range of its entries: first the ranges of endpoint
/// observations, then those of member records, then those of each other state by the states' numbers. Copies
/// with equal digests are taken to be equal. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gossip/shared_state.h"

namespace walkpaddle::gossip {

constexpr int kMemberRanges = 8;  ///< number of ranges that member records are split into

/// Which entries a range holds.
struct RangeContent {
  /// The type of the entries.
  enum class Kind : std::uint8_t { observations, records, items };
  Kind kind = Kind::observations;  ///< the type of this range's entries
  int range = 0;                   ///< index of the range within its kind
  std::uint8_t state = 0;          ///< for items: replica::ReplicatedState::number()
};

/// Which entries the range holds whose digest is at index `place` of digests_of().
RangeContent content_of_range(std::size_t place);

/// The range of member records that a member belongs to, from 0. `member`: stable hash of its name.
int member_range(std::uint64_t member);

/// The digests of this router's copy of all state, by range; 0: the range is empty.
std::vector<std::uint64_t> digests_of(const SharedState& shared);

}  // namespace walkpaddle::gossip
