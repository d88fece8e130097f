// The platform's discovery service. It delivers numbered events from the start of the soak to each router
// over a watch connection of its own. Faults close the watch, stop it, slow it down or delay its events.
// Deliveries are reported to the oracle.
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

  // Add an event that is delivered to all routers.
  void publish_endpoint(const Endpoint& endpoint, fakes::AnnouncedState state);
  void publish_purge(const std::string& item, int group);
  // Returns the state for the configuration of that process start, as JSON. All events up to now then count
  // as delivered to it.
  std::string initial_state(int router, int start, const std::vector<std::unique_ptr<Endpoint>>& endpoints);
  int port(int router) const { return watches_[static_cast<std::size_t>(router)]->port; }
  void move_port(int router);  // listens on another port and closes the old one
  void inject(const Fault& fault, Seconds until);

 private:
  struct Change {
    Seconds at;
    int kind;  // type of its frame
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
    std::shared_ptr<FaultyConnection> connection;
    std::optional<std::size_t> next;  // first event to write; set once the router sent its position
    struct PendingEvent {
      std::uint64_t end;   // offset of the end of its frame in the bytes of this connection
      std::size_t change;  // index of the event
    };
    std::deque<PendingEvent> pending_events;
    std::size_t delivered = 0;  // number of events that count as delivered to this process start
    Seconds due = 0;            // when the next event is written
    Seconds last_frame_at = 0;  // when the last frame was written
    Seconds healthy_since = 0;  // since when no fault affects the watch
    struct Active {
      Seconds until = 0;
      double magnitude = 0;
    } down, silent, trickling, late;
  };
  Task serve_watch(Watch& watch);
  void accept(Watch& watch);
  void write_due_events(Watch& watch);
  void record_delivery(Watch& watch, const Change& event, Seconds at);
  void record_deliveries(Watch& watch, std::size_t change);
  void record_overdue_events(Watch& watch);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Oracle& oracle_;
  PurgeHistory& purges_;
  fakes::Ports& ports_;
  std::mt19937 random_;
  std::vector<Change> events_;  // event n is at index n - 2; event 1 is the full list
  std::vector<std::unique_ptr<Watch>> watches_;
};

}  // namespace walkpaddle::soak
