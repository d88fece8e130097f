/// \file
/// Connections between routers for the replication of purges. There is one connection for each pair of
/// routers, dialled by the router whose name sorts first. What PurgeReplication has to send is written at the
/// end of each scheduler turn.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/listener.h"
#include "io/log.h"
#include "io/stream.h"
#include "io/turn_budget.h"
#include "purge/purge_registry.h"
#include "replication/peer.h"

namespace walkpaddle::replication {

/// The links of one router to its peers. Lifetime: all constructor arguments must outlive the links, and the
/// scheduler's tasks must be dropped (Scheduler::drop_tasks) before the links are destroyed. Threads: only
/// the scheduler's thread.
class PeerLinks {
 public:
  /// Configuration.
  struct Setup {
    std::string name;         ///< name of this router
    Address listen;           ///< address to listen on
    std::vector<Peer> peers;  ///< in the order of PurgeReplication's peer indexes
  };

  /// Starts to listen and to dial. Requires that purges.replication() is not null. Throws SystemError if it
  /// cannot listen on the address.
  PeerLinks(Scheduler& scheduler, Outbox& outbox, Log& log, purge::PurgeRegistry& purges, const Setup& setup);
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// Writes the messages that the replication has to send. Must be called at the end of each scheduler turn.
  void on_turn_end();

 private:
  struct Session;

  struct Link {
    Stream* stream = nullptr;  // null if not connected
    bool dials = false;        // whether this router dials
  };

  Task run_session(Fd fd, std::optional<int> dialled_peer, Event& ended);
  Task maintain_connection(int peer);
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
  std::size_t sessions_ = 0;  // includes those without a hello yet
  TurnBudget busy_tasks_;
  Listener listener_;
  Event timer_moved_;
  Event session_ended_;  // set by accepted sessions; nothing waits for it
  Seconds timer_due_ = kNoTime;
};

}  // namespace walkpaddle::replication
