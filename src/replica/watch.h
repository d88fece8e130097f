// One router's side of the shared facts of cache servers, without I/O: what its own list says becomes its
// facts; what the fleet's facts say is worse than its list is what the module is to be told, and only that;
// what each peer lacks is sent to it in bounded batches, again when it is not acknowledged. A host feeds it
// and pulls what to tell and what to send.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "brain.h"
#include "replica/clock.h"
#include "replica/facts.h"

namespace walkpaddle::replica {

class Watch {
 public:
  // A member as the router's own list gives it; what the module is told of it again, with state and start
  // from the facts where they are worse.
  struct Listing {
    std::uint64_t hash = 0;
    int location = 0, kind = 0, cell = 0;
    Listed state = Listed::ready;
    double weight = 0;
    Sec started = 0;
    bool operator==(const Listing&) const = default;
  };
  struct Tell {
    int member = 0;
    Listing listing;
  };
  struct Send {
    int peer = 0;
    std::vector<Fact> facts;
    std::uint64_t through = 0;  // the peer holds all up to here once it has these
  };
  struct Bounds {
    std::size_t batch = 64;  // facts a message: some kilobytes
    Sec again = 1;           // a batch not acknowledged by then is sent again
    std::size_t members = 4096;
  };

  Watch(std::uint64_t self, int peers, const Facts::Bounds& facts, const Bounds& bounds, Sec most_ahead);

  // The router's own list; a member's facts change only when its listing does.
  void listed(int member, const Listing& listing, Sec now);
  // From a peer: a fact it holds, and what it holds of ours. False where the fact was refused.
  bool heard(const Fact& fact, Sec now);
  // The observers of this fleet: a fact of any other is refused, so that no router passes on what a stranger
  // said. Empty: any.
  void members_of_fleet(std::vector<std::uint64_t> observers) { fleet_ = std::move(observers); }
  void up(int peer);  // it may have started anew: all is sent to it again
  void down(int peer);
  void held(int peer, std::uint64_t through);

  std::vector<Tell> to_tell(Sec now);  // members whose standing in the module is to change
  std::optional<Send> next(Sec now);   // until none
  Sec next_due(Sec now) const;         // when next() may have more without an input

  const Facts& facts() const { return facts_; }
  std::uint64_t refused() const { return facts_.refused() + ahead_; }

 private:
  struct Member {
    std::optional<Listing> own, told;
    Stamp stamped;  // of the own fact
    Sec since = 0;  // of the state that the list says
  };
  void stamp(Member& member, Health health, Sec now);
  Sec renew_at(const Member& member) const;  // when a drain or going is said again; never for the others
  struct Peer {
    bool up = false;
    std::uint64_t held = 0, sent = 0;
    Sec sent_at = 0;
  };
  Listing worse(const Listing& own, const Facts::View& view) const;

  const std::uint64_t self_;
  const Bounds bounds_;
  Clock clock_;
  Facts facts_;
  std::vector<Member> members_;
  std::vector<Peer> peers_;
  std::vector<std::uint64_t> fleet_;
  std::uint64_t ahead_ = 0;  // facts refused for a stamp too far ahead, or of a stranger
};

}  // namespace walkpaddle::replica
