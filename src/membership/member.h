/// \file
/// The state of a fleet member as another router knows it. Plain data, no I/O.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace walkpaddle::membership {

/// The liveness of a member as in SWIM. Of two records with the same incarnation the worse state wins. The
/// values of the first three go over the wire.
enum class MemberState : std::uint8_t {
  alive,
  suspect,  ///< did not answer a probe; counts as dead unless it refutes the suspicion in time
  dead,
  never_seen  ///< nothing is known of it since this router started; local, never sent
};

/// The state's name in the admin socket and in the log.
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

/// What routers exchange about a member. Of two records the one with the greater incarnation wins, then the
/// one with the worse state, so reordering and duplication of messages do not change the result.
struct MemberRecord {
  std::uint64_t member = 0;                ///< stable hash of its name
  std::uint64_t incarnation = 0;           ///< raised by the member itself alone
  MemberState state = MemberState::alive;  ///< any but `never_seen`
  std::uint64_t suspected_by = 0;          ///< for a suspicion: the member that raised it
  /// The version of each channel that the member reads in this incarnation, see compat/announcement.h; 0: not
  /// announced.
  std::uint64_t channel_versions = 0;
};

/// Another router of the fleet, as this router knows it.
struct Peer {
  std::uint64_t name = 0;                       ///< stable hash of its name
  std::uint64_t incarnation = 0;                ///< the greatest known
  std::uint64_t channel_versions = 0;           ///< as in MemberRecord
  MemberState state = MemberState::never_seen;  ///< `never_seen` until the first record or datagram
  Seconds since = 0;                            ///< start of the state; a stall moves that of a suspicion
  Seconds last_contact = 0;                     ///< when the peer last sent a datagram; 0: never
  std::vector<std::uint64_t> suspected_by{};    ///< who raised or confirmed the suspicion; bounded
};

/// Whether the member is alive or only suspected.
constexpr bool counts_as_alive(MemberState state) {
  return state == MemberState::alive || state == MemberState::suspect;
}

}  // namespace walkpaddle::membership
