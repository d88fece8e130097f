/// \file
/// What rumours missed is found by comparing digests with one member at a time (anti-entropy: Demers et al.,
/// 1987), which sends only the ranges that differ, in datagrams of bounded size and number. A router that
/// starts, or that stood still, catches up: it compares with one member after the other until some have sent
/// all that it lacked. It serves meanwhile. No I/O; called on the scheduler's thread.
///
/// One comparison: a digest to the other; its deltas and then its digest reply back; deltas of what it lacks
/// to it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "gossip/bounds.h"
#include "gossip/packet.h"
#include "gossip/shared_state.h"

namespace walkpaddle::gossip {

/// How a catch-up went.
struct CatchUpReport {
  Seconds duration = 0;            ///< from the start or the standstill
  int members = 0;                 ///< that sent all; 0: there was none to ask
  std::uint64_t observations = 0;  ///< that were new here meanwhile
};

/// One router's comparisons with others.
class Exchange {
 public:
  /// `shared` and `queue` must outlive this. `seed`: of the random choices.
  Exchange(SharedState& shared, PacketQueue& queue, const Bounds& bounds, std::uint32_t seed, Seconds now);

  /// A peer's digests: sends what differs, then this router's. Not answered while much waits to go out.
  void handle_digest(int from, std::uint64_t number, std::span<const std::uint64_t> theirs);
  /// A part of what differs has come.
  void handle_delta(int from, std::uint64_t number);
  /// The peer has sent all; sends what it lacks.
  void handle_reply(const Packet& reply, Seconds now);

  /// Compares with a member if it is time for that.
  void compare_if_due(Seconds now);
  /// This router may have missed much.
  void start_catch_up(Seconds now);
  /// When compare_if_due() has something to do.
  Seconds next_due() const { return compare_at_; }

  /// Whether this router has not caught up yet.
  bool catching_up() const { return catching_up_; }
  /// Once after each catch-up.
  std::optional<CatchUpReport> take_report() { return std::exchange(report_, std::nullopt); }

 private:
  struct Comparison {
    std::uint64_t number = 0;
    Seconds started_at = 0;
    std::uint32_t deltas = 0;  // that have come
  };
  struct Sent {
    std::uint32_t deltas = 0;
    bool truncated = false;  // not all that differs had room
  };
  Sent send_differing(int peer, std::uint64_t number, std::span<const std::uint64_t> theirs);
  void note_whole_copy(int from, Seconds now);

  SharedState& shared_;
  PacketQueue& queue_;
  const Bounds bounds_;
  std::mt19937 random_;
  std::uint64_t number_;                   // of the last comparison
  std::map<int, Comparison> comparisons_;  // the last with each member that was asked
  std::set<int> whole_copies_;             // members that have sent all
  std::optional<CatchUpReport> report_;
  std::uint64_t received_before_ = 0;  // observations, at the start of the catch-up
  Seconds compare_at_;
  Seconds catch_up_from_;
  bool catching_up_ = true;
};

}  // namespace walkpaddle::gossip
