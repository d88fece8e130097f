#include "gossip/digest.h"

#include <xxhash.h>

#include <algorithm>

namespace walkpaddle::gossip {

namespace {

constexpr std::size_t kFirstMemberRange = replica::EndpointObservations::kDigestRanges;
constexpr std::size_t kFirstItemRange = kFirstMemberRange + kMemberRanges;
constexpr std::size_t kItemRanges = replica::ReplicatedState::kDigestRanges;

std::uint64_t hash_of(const membership::MemberRecord& record) {
  const std::uint64_t words[] = {record.member, record.incarnation, static_cast<std::uint64_t>(record.state)};
  return XXH3_64bits(words, sizeof words) | 1;
}

}  // namespace

int member_range(std::uint64_t member) { return static_cast<int>(member % kMemberRanges); }

RangeContent content_of_range(std::size_t place) {
  if (place < kFirstMemberRange)
    return {.kind = RangeContent::Kind::observations, .range = static_cast<int>(place)};
  if (place < kFirstItemRange)
    return {.kind = RangeContent::Kind::records, .range = static_cast<int>(place - kFirstMemberRange)};
  const auto item_place = place - kFirstItemRange;
  return {.kind = RangeContent::Kind::items,
          .range = static_cast<int>(item_place % kItemRanges),
          .state = static_cast<std::uint8_t>(item_place / kItemRanges)};
}

std::vector<std::uint64_t> digests_of(const SharedState& shared) {
  std::vector<std::uint64_t> digests(kFirstItemRange);
  const auto& observations = shared.tracker.observations();
  for (std::size_t range = 0; range < kFirstMemberRange; ++range)
    digests[range] = observations.digest(static_cast<int>(range));
  const auto add = [&](const membership::MemberRecord& record) {
    digests[kFirstMemberRange + static_cast<std::size_t>(member_range(record.member))] += hash_of(record);
  };
  const auto& members = shared.members;
  add(members.self());
  for (std::size_t p = 0; p < members.peers().size(); ++p)
    if (const auto record = members.record(static_cast<int>(p))) add(*record);
  for (const auto* state : shared.states) {
    const auto first = kFirstItemRange + state->number() * kItemRanges;
    digests.resize(std::max(digests.size(), first + kItemRanges));
    for (std::size_t range = 0; range < kItemRanges; ++range)
      digests[first + range] = state->digest(static_cast<int>(range));
  }
  return digests;
}

}  // namespace walkpaddle::gossip
