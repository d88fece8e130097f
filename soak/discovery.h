// Discovery as the platform has it: numbered events from the start of the soak, told to each router over a
// watch of its own, which a plan may close, silence, trickle or delay. Tells the oracle what was told when.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fakes/discovery_frames.h"
#include "soak/endpoint.h"
#include "soak/oracle.h"
#include "soak/plan.h"

namespace walkpaddle::soak {

class Discovery {
 public:
  Discovery(Scheduler& scheduler, Outbox& outbox, Oracle& oracle, PurgeHistory& purges, int routers,
            fakes::Ports& ports, unsigned seed);

  // What happens; all routers hear of it in time.
  void member(const Endpoint& endpoint, fakes::AnnouncedState state);
  void purge(const std::string& item, int group);
  // The events up to now as a start of that router is handed them; told to it at once.
  std::string known(int router, int start, const std::vector<std::unique_ptr<Endpoint>>& endpoints);
  int port(int router) const { return watches_[static_cast<std::size_t>(router)]->port; }
  void move(int router);  // to another port; the old one is closed
  void trouble(const Trouble& trouble, Seconds until);

 private:
  struct Change {
    Seconds at;
    int kind;  // of its frame
    std::string payload;
    int server = -1;
    fakes::AnnouncedState state = fakes::AnnouncedState::ready;
    Seconds started = 0;
    std::string item;
    int group = 0;
  };
  struct Watch {
    int router = 0, start = 0, port = 0;
    Fd listener;
    std::shared_ptr<Link> link;
    std::optional<std::size_t> next;  // the first event not written on this connection, once it has asked
    struct OnItsWay {
      std::uint64_t end;  // of its frame, among the bytes of this connection
      std::size_t change;
    };
    std::deque<OnItsWay> on_their_way;
    std::size_t told = 0;  // events that count as told to this start
    Seconds due = 0;       // when the next one leaves
    Seconds beat = 0;      // when the last frame was written
    Seconds up_since = 0;  // not down or silent since
    struct Active {
      Seconds until = 0;
      double size = 0;
    } down, silent, trickles, late;
  };
  Task follow(Watch& watch);
  void accept(Watch& watch);
  void write_due(Watch& watch);
  void tell(Watch& watch, const Change& event, Seconds at);
  void tell_up_to(Watch& watch, std::size_t change);
  void count_as_told(Watch& watch);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Oracle& oracle_;
  PurgeHistory& purges_;
  fakes::Ports& ports_;
  std::mt19937 chance_;
  std::vector<Change> events_;  // number n is at n - 2: the first event is the whole list
  std::vector<std::unique_ptr<Watch>> watches_;
};

}  // namespace walkpaddle::soak
