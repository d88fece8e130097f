// Who of a fleet is alive, without I/O: SWIM (Das, Gupta, Motivala, 2002). Each period one member is pinged,
// in a shuffled round; one that does not answer is pinged through others, and then suspected; a suspicion
// that is not refuted in time makes it dead. A member refutes with a greater incarnation, which no other may
// give it; a new start has a greater one by its clock. With Lifeguard (Dadgar, Phillips, Currey, 2017): a
// router that misses answers itself is slower to suspect, a suspicion lasts the longer the fewer confirm it,
// and the suspected one hears of it first.
//
// Records join by incarnation, then the worse state, so order, loss and duplicates change nothing.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"

namespace walkpaddle::fleet {

class Members {
 public:
  enum class State : std::uint8_t { alive, suspect, dead, unheard };
  static constexpr std::string_view kNames[] = {"alive", "suspected", "dead", "not heard yet"};
  struct Record {
    std::uint64_t who = 0, incarnation = 0;
    State state = State::alive;  // never unheard
    std::uint64_t by = 0;        // suspect: who suspects it
    std::uint64_t reads = 0;     // what it announces to read, of its incarnation; see src/compat/verdict.h
  };
  struct Bounds {
    Seconds period =
        0.5;  // between two pings: a dead one of 300 is pinged by somebody within some milliseconds
    Seconds timeout = 0.2;              // of a direct answer; the rest of the period is for the helpers'
    int helpers = 3;                    // SWIM's k: enough at a few percent of loss
    int most_ill = 8;                   // Lifeguard's S
    double suspicion = 4, longest = 3;  // periods a power of ten of members; multiples of that unconfirmed
    int confirmed = 3;                  // by so many others: the shortest
  };
  struct Probe {
    enum class Kind : std::uint8_t { ping, ack, nack, ask };
    Kind kind = Kind::ping;
    int peer = -1;
    std::uint64_t number = 0, about = 0;  // about: whom the helper is to ping
  };
  struct Peer {
    std::uint64_t name = 0, incarnation = 0, reads = 0;
    State state = State::unheard;
    Seconds since = 0;                          // of the state
    Seconds heard = 0;                          // last from itself
    std::vector<std::uint64_t> suspected_by{};  // as many as confirm it, at most
  };

  Members(std::uint64_t self, const std::vector<std::uint64_t>& peers, std::uint64_t incarnation,
          const Bounds& bounds, std::uint32_t seed, Seconds now);

  // Inputs.
  // Anything from itself, with what it announces to read, 0 if it does not say.
  void heard(int peer, std::uint64_t incarnation, std::uint64_t reads, Seconds now);
  bool take(const Record& record, Seconds now);  // a record that is passed on; true: news
  void pinged(int from, std::uint64_t number);
  void asked(int from, std::uint64_t number, std::uint64_t about, Seconds now);
  void acked(std::uint64_t number);
  void nacked(std::uint64_t number);

  std::optional<Probe> next(Seconds now);  // until none
  Seconds next_due() const;

  // What stands.
  std::vector<Record> take_updates() { return std::exchange(news_, {}); }  // to be spread, once
  bool take_slept() { return std::exchange(slept_, false); }               // this process stood still; once
  const std::vector<Peer>& peers() const { return peers_; }
  std::optional<Record> record(int peer) const;  // none while it is unheard
  Record self() const { return {self_, incarnation_, State::alive, 0, reads_}; }
  void announce(std::uint64_t reads) { reads_ = reads; }  // before anything is sent
  int peer_named(std::uint64_t name) const;               // -1: not of the fleet
  int alive() const;                                      // peers that are alive or suspected
  int some_alive();                                       // one of them by chance, -1 for none
  int ill() const { return ill_; }
  std::uint64_t suspicions() const { return suspicions_; }  // raised here
  std::uint64_t refuted() const { return refuted_; }        // of those heard of: the member lived

 private:
  struct Pending {
    int peer = -1;
    std::uint64_t number = 0;
    Seconds at = 0, until = 0;
    bool helped = false;
    int nacks_due = 0;
  };
  struct Helping {
    int from = -1;
    std::uint64_t number = 0, own = 0;
    Seconds until = 0;
  };
  bool set(Peer& peer, const Record& record, Seconds now);
  void suspect(int peer, Seconds now);
  Seconds dead_at(const Peer& peer) const;
  void feel(int step) { ill_ = std::clamp(ill_ + step, 0, bounds_.most_ill); }
  int next_in_round();
  void woke(Seconds slept);

  const std::uint64_t self_;
  const Bounds bounds_;
  std::uint64_t incarnation_, reads_ = 0;
  std::mt19937 chance_;
  std::vector<Peer> peers_;
  std::vector<int> round_;
  std::optional<Pending> pending_;
  std::deque<Helping> helping_;
  std::deque<Probe> to_send_;
  std::vector<Record> news_;
  std::uint64_t number_ = 0, suspicions_ = 0, refuted_ = 0;
  Seconds probe_at_, called_at_;
  int ill_ = 0;
  bool slept_ = false;
};

}  // namespace walkpaddle::fleet
