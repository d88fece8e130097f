/// \file
/// Anti-entropy (Demers et al., 1987): finds what rumours missed by comparing digests with one member at a
/// time. Only ranges that differ are sent, in datagrams of bounded size and number. After its start or a
/// stall a router catches up: it compares with one member after another until enough of them have sent all
/// that it lacked. It serves requests meanwhile. No I/O; called on the scheduler's thread.
///
/// One comparison: this router sends its digests; the peer sends deltas and then a digest reply; this router
/// sends deltas of what the peer lacks.
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

/// The result of a catch-up.
struct CatchUpReport {
  Seconds duration = 0;            ///< since the start or the end of the stall
  int members = 0;                 ///< how many sent all that was lacking; 0: there was none to ask
  std::uint64_t observations = 0;  ///< how many new ones arrived meanwhile
};

/// One router's comparisons with its peers.
class Exchange {
 public:
  /// `shared` and `queue` must outlive this. `seed`: of the generator for random choices.
  Exchange(SharedState& shared, PacketQueue& queue, const Bounds& bounds, std::uint32_t seed, Seconds now);

  /// Answers a peer's digests with the entries of ranges that differ and with this router's digests. Does not
  /// answer while the send queue is nearly full.
  void handle_digest(int from, std::uint64_t number, std::span<const std::uint64_t> theirs);
  /// Counts a delta of the comparison `number`.
  void handle_delta(int from, std::uint64_t number);
  /// Ends a comparison: the peer has sent its deltas. Sends it what it lacks.
  void handle_reply(const Packet& reply, Seconds now);

  /// Starts a comparison with a random member if one is due.
  void compare_if_due(Seconds now);
  /// Starts a catch-up, as this router may have missed many updates.
  void start_catch_up(Seconds now);
  /// The time at which the next comparison is due.
  Seconds next_due() const { return compare_at_; }

  /// Whether a catch-up is under way.
  bool catching_up() const { return catching_up_; }
  /// The result of a finished catch-up, once for each.
  std::optional<CatchUpReport> take_report() { return std::exchange(report_, std::nullopt); }

 private:
  struct Comparison {
    std::uint64_t number = 0;
    Seconds started_at = 0;
    std::uint32_t deltas = 0;  // received so far
  };
  struct Sent {
    std::uint32_t deltas = 0;
    bool truncated = false;  // some ranges that differ were left out
  };
  Sent send_differing(int peer, std::uint64_t number, std::span<const std::uint64_t> theirs);
  void note_complete_peer(int from, Seconds now);

  SharedState& shared_;
  PacketQueue& queue_;
  const Bounds bounds_;
  std::mt19937 random_;
  std::uint64_t number_;                   // number of the last comparison started
  std::map<int, Comparison> comparisons_;  // the latest open one with each peer
  std::set<int> complete_peers_;           // peers that have sent all in the latest catch-up
  std::optional<CatchUpReport> report_;
  std::uint64_t received_before_ = 0;  // observations received before the catch-up started
  Seconds compare_at_;
  Seconds catch_up_from_;
  bool catching_up_ = true;
};

}  // namespace walkpaddle::gossip
