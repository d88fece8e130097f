// What the routers of a fleet know of the cache servers, as one replicated state, without I/O. A fact is what
// one router (its observer) saw of one server in one of its starts, stamped on the fleet's hybrid clock when
// it was seen, never when it was passed on. Copies are joined fact by fact, and the join is commutative,
// associative and idempotent (a state-based CRDT, Shapiro et al. 2011; its deltas are single facts, Almeida
// et al. 2018): order, loss and duplicates of messages change nothing.
//
// The join: a later start of a server wins outright and drops what was known of the earlier ones. Within a
// start each observer has one fact, its latest. What a server is taken for is then read from those facts:
// bad news (slow, cold, draining, down, a lower limit) wins at once; good news only through the observer's
// own later word, by age (slow and cold and limits last a life, drains and goings a longer one, which is
// renewed while a list says so), or when `quorum` other observers have seen the server ready after the bad
// news. What is read never loosens what a router's own list says: the host hands on only
// what is worse.
//
// Copies are compared by digests of ranges of servers: equal sums, equal facts, whatever order they came in.
// A fact is given up a `keep` after it was seen, at all routers alike, so that none brings it back.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "replica/clock.h"

namespace walkpaddle::replica {

enum class Health : std::uint8_t { ready, slow, cold, draining, down };  // each worse than the one before
constexpr int kHealths = 5;

struct Fact {
  std::uint64_t server = 0;    // stable hash of its id
  Seconds started = 0;         // its start as the list tells it, on the list's clock; 0: long ago
  std::uint64_t observer = 0;  // stable hash of the name of the router that saw it
  Stamp seen;
  Health health = Health::ready;
  double limit = 0;  // hops at once that it was seen to bear; 0: not known
  bool operator==(const Fact&) const = default;
};

class Facts {
 public:
  struct Bounds {
    // A fleet's list holds some hundreds of servers; beyond this a new one is refused and counted.
    std::size_t servers = 4096;
    // The routers of one fleet, its operator's file names them all; past this a new observer is refused. Who
    // is of the fleet is the host's to say (Watch::members_of_fleet).
    std::size_t observers = 512;
    // Slow, cold and a limit hold this long after they were seen unless seen again: a cold server is warm
    // within 18 to 22 s at the deployments on record, a slow spell lasts 14 to 33 s.
    Seconds life = 20;
    // A drain or a going holds this long unless its observer says it again. Its observer renews it a third of
    // this: two renewals may be lost. One whose observer is gone for good ends, so no server is left idle by
    // a word that nobody can take back.
    Seconds hard_life = 30;
    int quorum = 2;  // other observers that saw it ready later outweigh one's bad news
    // Nothing that is read lasts longer than hard_life; ten of these, for routers that were away.
    Seconds keep = 300;
  };
  static constexpr int kRanges = 64;  // a digest of 512 bytes; a troubled fleet's 1,000 facts are 16 a range
  enum class Took { news, known, old_start, refused };
  struct View {
    Seconds started = 0;
    Health health = Health::ready;
    double limit = 0;   // the lowest of those in force; 0: none
    int observers = 0;  // that have a fact of this start
    Stamp newest;       // the latest fact of this start
  };

  Facts() : Facts(Bounds{}) {}
  explicit Facts(const Bounds& bounds) : bounds_(bounds) {}

  Took take(const Fact& fact);    // the join, one fact at a time; a router's own facts come the same way
  void join(const Facts& other);  // all of another copy
  std::optional<View> view(std::uint64_t server, Stamp now) const;

  const Fact* find(std::uint64_t server, std::uint64_t observer) const;
  // The newest word of this start that was as bad or worse; zero if there is none.
  Stamp last_said(std::uint64_t server, Seconds started, Health at_least) const;
  void trim(Seconds now);  // what is past `keep`

  std::uint64_t digest(int range) const { return sums_[static_cast<std::size_t>(range)]; }  // 0: empty
  std::vector<Fact> of_range(int range) const;
  static int range_of(std::uint64_t server) { return static_cast<int>(server % kRanges); }

  std::vector<Fact> all() const;  // in a fixed order, the same for equal copies
  std::size_t servers() const { return servers_.size(); }
  std::size_t size() const { return size_; }
  std::uint64_t refused() const { return refused_; }
  const Bounds& bounds() const { return bounds_; }

 private:
  struct Server {
    Seconds started = 0;
    std::map<std::uint64_t, Fact> by_observer;
  };
  static bool later(const Fact& a, const Fact& b);  // a outranks b from the same observer
  Health in_force(const Fact& fact, Stamp now) const;
  void count(const Fact& fact, int sign);

  const Bounds bounds_;
  std::map<std::uint64_t, Server> servers_;
  std::array<std::uint64_t, kRanges> sums_{};
  std::size_t size_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace walkpaddle::replica
