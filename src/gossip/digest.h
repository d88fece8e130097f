/// \file
/// Digests of all that is shared, range by range: those of endpoint observations, those of member records,
/// then those of each other state in the order of the states' numbers. Equal digests, equal copies. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gossip/shared_state.h"

namespace walkpaddle::gossip {

constexpr int kMemberRanges = 8;  ///< ranges of member records

/// What a range, by its place among the digests, is of.
struct RangeContent {
  /// The sort of its entries.
  enum class Kind : std::uint8_t { observations, records, items };
  Kind kind = Kind::observations;  ///< of this range
  int range = 0;                   ///< within its kind
  std::uint8_t state = 0;          ///< of items: replica::ReplicatedState::number()
};

/// What the range at `place` is of.
RangeContent content_of_range(std::size_t place);

/// The range, within those of member records, that a member falls into.
int member_range(std::uint64_t member);

/// The digests of this router's copy; 0: the range is empty.
std::vector<std::uint64_t> digests_of(const SharedState& shared);

}  // namespace walkpaddle::gossip
