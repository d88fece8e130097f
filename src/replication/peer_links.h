/// \file
/// Connections between routers for the replication of purges: one a pair, dialled by the router whose name
/// comes first. What PurgeReplication wants to be sent goes out at the end of each turn.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/listener.h"
#include "io/log.h"
#include "io/stream.h"
#include "purge/purge_registry.h"
#include "replication/peer.h"

namespace walkpaddle::replication {

/// The links of one router to its peers. Lifetime: all that the constructor takes outlives the links, and the
/// scheduler's tasks are dropped (Scheduler::drop_tasks) before they go. Threads: the scheduler's.
class PeerLinks {
 public:
  /// What the links are set up with.
  struct Setup {
    std::string name;         ///< this router's
    Address listen;           ///< where it listens
    std::vector<Peer> peers;  ///< in the order of PurgeReplication's indexes
  };

  /// Listens and dials; purges.replication() is not null. Throws SystemError if the address cannot be
  /// listened on.
  PeerLinks(Scheduler& scheduler, Outbox& outbox, Log& log, purge::PurgeRegistry& purges, const Setup& setup);
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// Writes what the replication wants to be sent; to be called at each turn's end.
  void on_turn_end();

 private:
  struct Session;

  struct Link {
    Stream* stream = nullptr;  // null: not connected
    bool dials = false;        // from here
  };

  Task accept_all();
  Task run_session(Fd fd, std::optional<int> dialled_peer, Event& ended);
  Task keep_dialling(int peer);
  Task run_timer();
  void send(const purge::PurgeReplication::Outgoing& outgoing);
  std::optional<int> peer_named(std::string_view name) const;
  Link& link(int peer) { return links_[static_cast<std::size_t>(peer)]; }
  const std::string& name_of(int peer) const { return setup_.peers[static_cast<std::size_t>(peer)].name; }

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  purge::PurgeRegistry& purges_;
  const Setup setup_;
  std::vector<Link> links_;
  std::size_t sessions_ = 0;  // also those that have not said who they are
  Listener listener_;
  Event timer_moved_;
  Event session_ended_;  // of those accepted; nobody waits for it
  Seconds timer_due_ = kNoTime;
};

}  // namespace walkpaddle::replication
