// What a router's module has learnt, kept for it by others against its crash, without I/O. Each router tells
// a few others, chosen by the hash order of both names among those alive, what its limits and sending times
// have come to; one that starts asks as many for what they keep of it. It is the router's own knowledge that
// comes back, not another's: a router that sees ten times the traffic of the rest has learnt what they have
// not. Bounded: so many keepers, so many rooms of each router.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "membership/membership.h"

namespace walkpaddle::fleet {

struct Belief {
  struct Room {
    std::uint64_t server = 0;
    double hops = 0, fills = 0;
    bool operator==(const Room&) const = default;
  };
  struct Rule {
    double sending = 0;
    int answers = 0;
    bool operator==(const Rule&) const = default;
  };
  struct Heat {
    std::uint64_t object = 0;
    double count = 0;
    bool operator==(const Heat&) const = default;
  };
  std::uint64_t router = 0;
  Seconds at = 0;
  int part = 0, parts = 1;
  double link = 0, misses = -1;
  std::vector<Room> rooms{};
  std::vector<Heat> objects{};
  std::vector<Rule> rules{};  // with the first part, in the order of the settings
};

class Keepers {
 public:
  struct Bounds {
    int keepers = 3;                        // two may be gone
    Seconds every = 10;                     // a sixth of the minute in which limits count half
    Seconds ask_again = 0.25, ask_for = 5;  // of the start; past it the module has learnt by itself
    std::size_t rooms = 32;                 // of a datagram, and as many objects: 16 bytes each
    std::size_t objects = 256;              // of one router, those counted highest
    std::size_t all = 4096;                 // of one router
    Seconds keep = 300;                     // five halvings: nothing worth sending
  };
  struct Send {
    int peer = -1;
    std::shared_ptr<const Belief> belief;  // null: asks for what is kept of this router
  };
  Keepers(const membership::Membership& members, const Bounds& bounds, Seconds now);

  // What the module has learnt: kept by the others. Due when wanted() says so.
  bool wanted(Seconds now) const {
    return now >= tell_at_ && (returned_ || now >= started_ + bounds_.ask_for);
  }
  void learnt(Belief belief, Seconds now);
  // From others: a part of what one has learnt, or of what was kept for this router; one that asks.
  void told(std::uint64_t from, Belief belief, Seconds now);
  void asked(int from);
  // What this router's own disk kept, before anything is asked.
  void stored(Belief belief) { take_back(std::move(belief)); }

  std::optional<Send> next(Seconds now);  // until none
  Seconds next_due() const;
  std::optional<Belief> take_returned();  // whole, the newest so far; once each
  std::size_t kept() const { return kept_.size(); }

 private:
  std::vector<int> keepers_of(std::uint64_t router) const;
  bool whole(const std::vector<Belief>& parts) const;
  void take_back(Belief belief);

  const membership::Membership& members_;
  const Bounds bounds_;
  const Seconds started_;
  struct Kept {
    std::vector<Belief> whole, coming;  // parts: the last that came whole, and a later one until it is
  };
  std::map<std::uint64_t, Kept> kept_;  // by router
  std::vector<Belief> own_;             // parts of what comes back
  std::optional<Belief> back_;
  std::deque<Send> to_send_;
  Seconds tell_at_ = 0, ask_at_, newest_ = 0;
  bool returned_ = false;
};

}  // namespace walkpaddle::fleet
