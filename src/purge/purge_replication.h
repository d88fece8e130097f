/// \file
/// Replication of the purge log between routers, without I/O: heartbeats, a lease, and catch-up.
///
/// A heartbeat carries a head for each issuer: the number up to which the sender has all of the issuer's
/// purges. A router that lacks some requests exactly those. A purge is accepted once a majority has it. A
/// router trusts its own log if, at some time within the last lease, the log had all that a majority had
/// (leases: Gray and Cheriton, 1989). Any two majorities share a router, so a purge accepted more than a
/// lease ago is in every trusted log. A router that does not trust its log limits the age of all copies to
/// the lease.
///
/// A heartbeat echoes the latest time that its sender received from this router, which is on this router's
/// clock. The heads in it are no older than that time, whatever the clock differences and message delays.
///
/// Threads: not thread-safe. Lifetime: the log must outlive the replication. Peers are identified by index,
/// from 0.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "purge/purge_log.h"

namespace walkpaddle::purge {

/// Where the log is kept.
enum class LogStorage {
  memory,  ///< lost at a restart; the log is incomplete until it has been recovered from peers
  disk,    ///< survives a restart up to the position last passed to PurgeLog::mark_durable()
};

/// One router's side of the replication: what its peers have reported, and what to send to them.
class PurgeReplication {
 public:
  /// Timing of the protocol.
  struct Timing {
    Seconds lease = 2;        ///< how long a log is trusted after it was complete
    Seconds heartbeat = 0.4;  ///< interval; a fifth of the lease, so that three in a row may be lost
  };

  /// A message to send to one peer.
  struct Outgoing {
    /// Type of message.
    enum class Kind {
      heartbeat,  ///< the head of each issuer
      entry,      ///< one purge
      request,    ///< a request for an issuer's purges, starting at a number
    };
    Kind kind = Kind::heartbeat;        ///< determines which of the fields below are used
    int peer = -1;                      ///< index of the peer
    const PurgeEntry* entry = nullptr;  ///< for entry: the purge
    std::uint64_t issuer = 0;           ///< for request: the issuer
    std::uint64_t from_number = 0;      ///< for request: the first number
    Seconds echo = 0;  ///< for heartbeat: the latest time received from the peer, on its clock
  };

  /// Status of a peer for operators.
  struct PeerStatus {
    bool connected = false;  ///< whether a connection to it is up
    /// Time on this router's clock up to which this log has all purges of the peer's log; 0 if never.
    Seconds complete_at = 0;
  };

  /// `peers` is the number of other routers.
  PurgeReplication(PurgeLog& log, int peers, LogStorage storage, const Timing& timing, Seconds now);

  /// Reports that a connection to the peer is up. Sends it a heartbeat soon.
  void connected(int peer);
  /// Reports that the connection to the peer is down.
  void disconnected(int peer);
  /// Starts a received heartbeat; heartbeat_head() for each issuer and heartbeat_end() follow. `remote_time`
  /// is the peer's clock, `echo` the latest time that the peer received from this router, and `complete`
  /// tells whether its log has all purges accepted before its start.
  void heartbeat_begin(int peer, Seconds remote_time, Seconds echo, bool complete);
  /// The peer's log has the issuer's numbers up to `number` and has since dropped those up to `dropped`.
  /// `evicted_ago` is the age of the newest purge that was dropped for lack of space, by its `valid_since`; 0
  /// for none.
  void heartbeat_head(int peer, std::uint64_t issuer, std::uint64_t number, std::uint64_t dropped,
                      Seconds evicted_ago, Seconds now);
  /// Ends a received heartbeat and acts on its heads.
  void heartbeat_end(int peer, Seconds now);
  /// Must be called after each entry that was added to the log.
  void entry_added(Seconds now);
  /// Handles a peer's request for the issuer's purges from `from_number` on by sending a batch of them.
  void request_received(int peer, std::uint64_t issuer, std::uint64_t from_number);
  /// Sends a purge issued here to all connected peers.
  void broadcast(const PurgeEntry& entry);
  /// Sends each peer its next heartbeat early, since the heads have risen.
  void expedite_heartbeats();

  /// The next message to send. The caller repeats the call until it returns nullopt.
  std::optional<Outgoing> next(Seconds now);
  /// Time at which next() may have a message again without further input.
  Seconds next_due() const;

  /// Whether the log has all purges accepted before this start.
  bool complete() const { return complete_; }
  /// Latest time, on this router's clock, at which the log had all that a majority had; 0 if never.
  Seconds complete_as_of(Seconds now) const;
  /// Whether the log is trusted.
  bool lease_valid(Seconds now) const { return now - complete_as_of(now) <= timing_.lease; }
  /// Greatest age at which any copy may be served; 0 if there is no limit.
  Seconds copy_age_limit(Seconds now) const { return lease_valid(now) ? 0 : timing_.lease; }
  /// Number of routers in a majority.
  int majority() const { return static_cast<int>(peers_.size() + 1) / 2 + 1; }
  /// Number of routers that have the purge durably, this one included.
  int replicas(const PurgeEntry& entry) const;
  /// The peers that have not reported that they have the purge.
  std::vector<int> peers_lacking(const PurgeEntry& entry) const;
  /// The issuer's head in this router's heartbeats: the end of the run, or of its durable part with a disk.
  std::uint64_t acknowledged(std::uint64_t issuer) const;
  /// Status of the peer.
  PeerStatus peer_status(int peer) const;

  /// Set if peers dropped purges for lack of space that this log never had: all copies from before the time
  /// returned are stale here. Returned once.
  std::optional<Seconds> take_stale_before() { return std::exchange(stale_before_, std::nullopt); }
  /// Whether accepted purges may be lost because routers without a store restarted. The caller must then
  /// issue a purge of everything before next(). Returns true once.
  bool take_purges_lost() { return std::exchange(purges_lost_, false); }

 private:
  using Heads = std::vector<std::pair<std::uint64_t, std::uint64_t>>;  // issuer, number

  struct PendingHeartbeat {  // a heartbeat with heads that this log has not reached yet
    Seconds echo = 0;
    Heads heads;
  };

  struct Peer {
    bool connected = false;
    bool complete = false;            // according to its last heartbeat
    bool heartbeat_received = false;  // since it connected
    Seconds complete_at = 0;
    Seconds remote_time = 0;  // latest received, on the peer's clock
    Seconds heartbeat_sent_at = 0;
    Seconds heartbeat_received_at = 0;
    bool expedite_heartbeat = false;
    std::map<std::uint64_t, std::uint64_t> heads;                    // numbers by issuer
    std::deque<std::pair<std::uint64_t, std::uint64_t>> send_queue;  // issuer, number
    std::deque<PendingHeartbeat> pending;
    Heads incoming_heads;  // of the heartbeat that is being read
  };

  struct Request {                 // the last request for an issuer's purges
    std::uint64_t contiguous = 0;  // end of the issuer's run at that time
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
