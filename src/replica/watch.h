// One router's side of the shared facts of cache servers, without I/O: what its own list says becomes its
// facts, as far as the fleet does not know it yet; what the fleet's facts say is worse than its list is what
// the module is to be told, and only that. Who carries the facts is not its concern: what is new here is
// named once, for a carrier to spread.
//
// Hundreds of routers read one list. Each waits a short time by chance before it says what its list says, and
// keeps silent when others have said it lately (as receivers of a multicast do: Floyd et al., 1997), so that
// a drain costs the fleet some facts, not one for each router. Only a list that was heard of lately speaks: a
// router that was stopped or whose bus is cut does not say old beliefs as new.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "replica/clock.h"
#include "replica/facts.h"
#include "routing/policy.h"

namespace walkpaddle::replica {

class Watch {
 public:
  // A member as the router's own list gives it; what the module is told of it again, with state and start
  // from the facts where they are worse.
  struct Listing {
    std::uint64_t hash = 0;
    int location = 0, kind = 0, cell = 0;
    EndpointState state = EndpointState::ready;
    double weight = 0;
    Seconds started = 0;
    bool operator==(const Listing&) const = default;
  };
  struct Tell {
    int member = 0;
    Listing listing;
  };
  struct Key {
    std::uint64_t server = 0, observer = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct Bounds {
    std::size_t members = 4096;
    // The platform's bus says something every second: two may be missed.
    Seconds list_fresh = 3;
    // Waiting time before a word: half a millisecond a router, so that of 300 a few dozen speak before they
    // hear the first, and 150 ms at most, well under the half second that is aimed at.
    Seconds wait_each = 0.0005, wait_most = 0.15;
  };

  // routers: of the fleet, this one included.
  Watch(std::uint64_t self, int routers, const Facts::Bounds& facts, const Bounds& bounds, Seconds most_ahead,
        std::uint32_t seed);

  // The router's own list: a member, and that its bus spoke now. Until it has, the list of the start is old
  // belief.
  void listed(int member, const Listing& listing, Seconds now);
  void list_heard(Seconds now) { list_heard_ = now; }
  // A fact from another router, or from this one's last start: news, known, or refused.
  Facts::Took heard(const Fact& fact, Seconds now);
  // The observers of this fleet: a fact of any other is refused, so that no router passes on what a stranger
  // said. Empty: any.
  void members_of_fleet(std::vector<std::uint64_t> observers) { fleet_ = std::move(observers); }

  std::vector<Tell> to_tell(Seconds now);  // members whose standing in the module is to change
  std::vector<Key> take_news() { return std::exchange(news_, {}); }  // facts that changed here; once
  void speak(Seconds now);   // says what is due; drops what is past its time
  Seconds next_due() const;  // when to_tell() or speak() may have more without an input

  const Facts& facts() const { return facts_; }
  std::uint64_t refused() const { return facts_.refused() + ahead_; }

 private:
  struct Member {
    std::optional<Listing> own, told;
    Seconds since = 0;       // of the state that the list says
    Seconds look_at;         // when to see whether there is something to say
    bool recovered = false;  // the list said it drains, and then that it is ready
  };
  Seconds by_chance();
  void look(Member& member, Seconds now);
  void say(const Member& member, Health health, Seconds now);
  Listing worse(const Listing& own, const Facts::View& view) const;

  const std::uint64_t self_;
  const Bounds bounds_;
  const Seconds wait_;
  std::mt19937 chance_;
  Clock clock_;
  Facts facts_;
  std::vector<Member> members_;
  std::vector<std::uint64_t> fleet_;
  std::vector<Key> news_;
  Seconds list_heard_ = 0, look_at_, trim_at_ = 0;
  std::uint64_t ahead_ = 0;  // facts refused for a stamp too far ahead, past their time, or of a stranger
};

}  // namespace walkpaddle::replica
