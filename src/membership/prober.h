/// \file
/// Whom a member probes when, and for whom it probes: the failure detector of SWIM (Das, Gupta and Motivala,
/// 2002). Each interval one member is pinged, in a shuffled round; one that does not answer is pinged through
/// helpers. What a failed probe means is Membership's. No I/O; called on the scheduler's thread.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <vector>

#include "membership/bounds.h"
#include "membership/member.h"

namespace walkpaddle::membership {

/// One datagram of the failure detector.
struct Probe {
  /// Their numbers are on the wire.
  enum class Kind : std::uint8_t {
    ping,
    ack,
    nack,         ///< a helper had no answer either
    ping_request  ///< asks a helper to ping another
  };
  Kind kind = Kind::ping;    ///< what it is for
  int peer = -1;             ///< its receiver, by number
  std::uint64_t number = 0;  ///< an answer has that of the question
  std::uint64_t about = 0;   ///< of a ping request: whom the helper is to ping
};

/// The probes of one member: its own, those that it does for others, and its answers.
class Prober {
 public:
  /// A probe of this member's own that stayed unanswered.
  struct Failure {
    int peer = -1;           ///< that did not answer
    int silent_helpers = 0;  ///< asked, but said nothing either
  };

  /// `random` is shared with Membership and must outlive this.
  Prober(const Bounds& bounds, std::mt19937& random, Seconds now);

  /// A ping is to be answered.
  void answer(int from, std::uint64_t number);
  /// A ping request: `target` is to be pinged for `from`.
  void relay(int from, std::uint64_t number, int target, Seconds now);
  /// True if it answers this member's own probe; a relayed one is passed on.
  bool handle_ack(std::uint64_t number);
  /// A helper lives but does not reach the target either: the fault is less likely here.
  void handle_nack(std::uint64_t number);
  /// Drops what is open: this process stood still, what it did not hear meanwhile speaks of nobody else.
  void reset();

  /// Answers relays that timed out with a nack.
  void expire_relays(Seconds now);
  /// Asks helpers if the open probe has had no direct answer. `patience`: the factor of its times, from 1.
  void ask_helpers(const std::vector<Peer>& peers, int patience, Seconds now);
  /// The open probe, if it has failed; once.
  std::optional<Failure> take_failure(Seconds now);
  /// Starts the next probe if it is due; also seeks peers never heard or dead. Prevents a healed cut from
  /// staying unnoticed.
  void start_due(const std::vector<Peer>& peers, int patience, Seconds now);

  /// The next datagram; nullopt: none is waiting.
  std::optional<Probe> pop();
  bool empty() const { return outgoing_.empty(); }  ///< whether pop() has none
  /// When there may be more to do without an input.
  Seconds next_due(int patience) const;

 private:
  struct OpenProbe {
    int peer = -1;
    std::uint64_t number = 0;
    Seconds started_at = 0;
    Seconds fails_at = 0;
    bool helpers_asked = false;
    int awaited_nacks = 0;
  };
  struct Relay {
    int from = -1;
    std::uint64_t number = 0;      // as the asking member gave it
    std::uint64_t own_number = 0;  // of the ping that it led to
    Seconds until = 0;
  };
  int next_in_round(const std::vector<Peer>& peers);
  void seek_missing(const std::vector<Peer>& peers);

  const Bounds bounds_;
  std::mt19937& random_;
  std::uint64_t number_;  // of the last ping
  Seconds probe_at_;
  std::vector<int> round_;
  std::optional<OpenProbe> open_;
  std::deque<Relay> relays_;
  std::deque<Probe> outgoing_;
};

}  // namespace walkpaddle::membership
