// Connections between routers: one a pair, dialled by the router whose name comes first. What Sync wants sent
// goes out at the end of each turn.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "io/listener.h"
#include "io/log.h"
#include "io/stream.h"
#include "purge/purge_registry.h"

namespace walkpaddle::fleet {

class Links {
 public:
  struct Peer {
    std::string name;
    Address address;
  };
  struct Setup {
    std::string name;
    Address listen;
    std::vector<Peer> peers;  // in the order of Sync's numbers
  };
  // Throws SystemError if the address cannot be listened on.
  Links(Scheduler& scheduler, Outbox& outbox, Log& log, purge::PurgeRegistry& purges, const Setup& setup);
  void pull();  // at a turn's end

 private:
  struct Reader;
  struct Link {
    Stream* stream = nullptr;
    bool dials = false;
  };
  Task accept_all();
  Task session(Fd fd, int dialled, Event& over);
  Task dial_on(int peer);
  Task keep_time();
  int peer_named(std::string_view name) const;

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  purge::PurgeRegistry& purges_;
  const Setup setup_;
  std::vector<Link> links_;
  std::size_t sessions_ = 0;  // also those that have not said who they are
  Listener listener_;
  Event due_, ended_;
  Seconds due_at_ = kNoTime;
};

}  // namespace walkpaddle::fleet
