/// \file
/// How routers bring their purge logs together, without I/O: heartbeats, a lease, and catch-up.
///
/// Heartbeats carry how far each router's log has come for each issuer; who lacks some requests exactly
/// those. A purge is accepted once a majority has it, and a router trusts its own log while that was complete
/// with a majority at most a lease ago (leases: Gray and Cheriton, 1989). Two majorities share a router: what
/// was accepted a lease ago is in every log that is trusted. The others bound the age of all copies by the
/// lease.
///
/// Times echo: a heartbeat brings back the latest time that its sender had from this router, on this router's
/// clock. What it reports was so no earlier than that, however far apart the clocks are and however long
/// messages take.
///
/// Threads: one at a time. Lifetime: the log outlives the replication. A peer is named by its index, from 0.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "purge/purge_log.h"

namespace walkpaddle::purge {

/// Whether a log survives a restart of its router.
enum class LogStorage {
  memory,  ///< it does not: a start is told apart from an empty log
  disk,    ///< it does, as far as PurgeLog::mark_durable() says
};

/// One router's part in the replication: what its peers have reported, and what is to be sent to them.
class PurgeReplication {
 public:
  /// The times of the protocol.
  struct Timing {
    Seconds lease = 2;        ///< how long a log is trusted after it was complete
    Seconds heartbeat = 0.4;  ///< between two heartbeats; a fifth of the lease: three may be lost in a row
  };

  /// What is to be sent to one peer.
  struct Outgoing {
    /// Which message.
    enum class Kind {
      heartbeat,  ///< how far the log has come, for each issuer
      entry,      ///< one purge
      request,    ///< for an issuer's purges from a number on
    };
    Kind kind = Kind::heartbeat;        ///< which of the fields below count
    int peer = -1;                      ///< index of the peer
    const PurgeEntry* entry = nullptr;  ///< entry: the purge
    std::uint64_t issuer = 0;           ///< request: whose purges
    std::uint64_t from_number = 0;      ///< request: from this number on
    Seconds echo = 0;                   ///< heartbeat: the latest time from that peer, on its clock
  };

  /// What is shown of a peer.
  struct PeerStatus {
    bool connected = false;  ///< a connection to it is up
    /// On this router's clock: no purge in the peer's log by then is missing here; 0: never.
    Seconds complete_at = 0;
  };

  /// `peers`: how many routers there are beside this one.
  PurgeReplication(PurgeLog& log, int peers, LogStorage storage, const Timing& timing, Seconds now);

  /// A connection to the peer is up: it is sent a heartbeat soon.
  void connected(int peer);
  /// The connection is down.
  void disconnected(int peer);
  /// A heartbeat begins; a heartbeat_head() for each issuer follows, then heartbeat_end(). `remote_time` is
  /// the peer's clock, `echo` the latest time that it had from here. `complete`: its log has all that was
  /// accepted before its start.
  void heartbeat_begin(int peer, Seconds remote_time, Seconds echo, bool complete);
  /// The peer's log has the issuer's numbers up to `number`, of which those up to `dropped` were dropped.
  /// `evicted_ago`: how long ago the newest of those dropped for want of room was issued, 0 for none.
  void heartbeat_head(int peer, std::uint64_t issuer, std::uint64_t number, std::uint64_t dropped,
                      Seconds evicted_ago, Seconds now);
  /// The heartbeat is whole.
  void heartbeat_end(int peer, Seconds now);
  /// To be called after each entry that was added to the log.
  void entry_added(Seconds now);
  /// The peer requests the issuer's purges from a number on; a batch of them is sent.
  void request_received(int peer, std::uint64_t issuer, std::uint64_t from_number);
  /// Sends a purge issued here to all peers that are connected.
  void broadcast(const PurgeEntry& entry);
  /// The log has more for good: peers get a heartbeat soon.
  void heartbeat_soon();

  /// The next message to send, to be called until it gives none.
  std::optional<Outgoing> next(Seconds now);
  /// When next() may have more without an input.
  Seconds next_due() const;

  /// Whether all that was accepted before this start is in the log again.
  bool complete() const { return complete_; }
  /// The log was complete with a majority then, on this router's clock; 0: never.
  Seconds complete_as_of(Seconds now) const;
  /// Whether the log is trusted.
  bool lease_valid(Seconds now) const { return now - complete_as_of(now) <= timing_.lease; }
  /// The bound on the age of every copy; 0 for none.
  Seconds copy_age_limit(Seconds now) const { return lease_valid(now) ? 0 : timing_.lease; }
  /// How many routers are a majority.
  int majority() const { return static_cast<int>(peers_.size() + 1) / 2 + 1; }
  /// How many routers have the purge for good, this one included.
  int replicas(const PurgeEntry& entry) const;
  /// The peers that have not reported that they have the purge.
  std::vector<int> peers_lacking(const PurgeEntry& entry) const;
  /// The issuer's number up to which heartbeats say that this log has all: for good, if it is on disk.
  std::uint64_t acknowledged(std::uint64_t issuer) const;
  /// What is shown of the peer.
  PeerStatus peer_status(int peer) const;

  /// Peers dropped purges for want of room that this log never had: all copies from before the time returned
  /// are stale here. Given once.
  std::optional<Seconds> take_stale_before() { return std::exchange(stale_before_, std::nullopt); }
  /// Purges were lost with the routers' memory: a purge of everything is to be issued before next(). True
  /// once.
  bool take_purges_lost() { return std::exchange(purges_lost_, false); }

 private:
  using Heads = std::vector<std::pair<std::uint64_t, std::uint64_t>>;  // issuer, number

  struct PendingHeartbeat {  // it reported numbers that are not in this log yet
    Seconds echo = 0;
    Heads heads;
  };

  struct Peer {
    bool connected = false;
    bool complete = false;  // by its last heartbeat
    bool heard = false;     // a heartbeat came since it connected
    Seconds complete_at = 0;
    Seconds remote_time = 0;  // the latest, on its clock
    Seconds heartbeat_sent_at = 0;
    Seconds heartbeat_received_at = 0;
    bool heartbeat_soon = false;
    std::map<std::uint64_t, std::uint64_t> heads;                    // by issuer
    std::deque<std::pair<std::uint64_t, std::uint64_t>> send_queue;  // issuer, number
    std::deque<PendingHeartbeat> pending;
    Heads incoming_heads;  // of the heartbeat that is being read
  };

  struct Request {                 // the last for an issuer's purges
    std::uint64_t contiguous = 0;  // the log's at that time
    Seconds sent_at = 0;
  };

  Peer& peer_at(int peer) { return peers_[static_cast<std::size_t>(peer)]; }
  void settle_pending(Peer& peer);
  void check_recovered();
  void request_missing(Seconds now);
  int best_source(std::uint64_t issuer, std::uint64_t contiguous) const;
  std::optional<Outgoing> next_entry(int peer);
  Seconds heartbeat_due(const Peer& peer) const;

  PurgeLog& log_;
  const LogStorage storage_;
  const Timing timing_;
  const Seconds started_at_;
  bool complete_;
  std::vector<Peer> peers_;
  std::map<std::uint64_t, Request> requests_;  // by issuer
  std::deque<Outgoing> request_queue_;
  std::optional<Seconds> stale_before_;
  bool purges_lost_ = false;
};

}  // namespace walkpaddle::purge
