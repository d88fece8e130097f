/// \file
/// What a router knows of another router of its fleet. Plain data, no I/O.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle::membership {

/// Whether a member lives, as SWIM has it; of two records of one incarnation the worse state wins. The
/// numbers of the first three are on the wire.
enum class MemberState : std::uint8_t {
  alive,
  suspect,  ///< it did not answer; dead unless it refutes that in time
  dead,
  never_seen  ///< never heard of since this router's start; local, never sent
};

/// The name as operators read it.
constexpr std::string_view to_string(MemberState state) {
  switch (state) {
    case MemberState::alive:
      return "alive";
    case MemberState::suspect:
      return "suspected";
    case MemberState::dead:
      return "dead";
    case MemberState::never_seen:
      return "not heard yet";
  }
  return "unknown";
}

/// What is passed on of a member. Records join by incarnation, then the worse state, so order, loss and
/// duplicates change nothing.
struct MemberRecord {
  std::uint64_t member = 0;                ///< stable hash of its name
  std::uint64_t incarnation = 0;           ///< only the member itself raises it
  MemberState state = MemberState::alive;  ///< never `never_seen`
  std::uint64_t suspected_by = 0;          ///< of a suspicion: who raised it
  /// What it announces to read of each channel, of its incarnation; 0: it did not say. See compat/verdict.h.
  std::uint64_t channel_versions = 0;
};

/// Another router of the fleet.
struct Peer {
  std::uint64_t name = 0;                       ///< stable hash of its name
  std::uint64_t incarnation = 0;                ///< the latest known
  std::uint64_t channel_versions = 0;           ///< as in MemberRecord
  MemberState state = MemberState::never_seen;  ///< as this router knows it
  Seconds since = 0;                            ///< of the state; a standstill of this process moves it
  Seconds last_contact = 0;                     ///< from the peer itself; 0: never
  std::vector<std::uint64_t> suspected_by{};    ///< those that confirm a suspicion, a bounded number
};

/// Alive, or not yet known to be otherwise.
constexpr bool counts_as_alive(MemberState state) {
  return state == MemberState::alive || state == MemberState::suspect;
}

}  // namespace walkpaddle::membership
