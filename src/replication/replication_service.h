/// \file
/// One router's side of the state replicated in the fleet: membership, endpoint observations, replicas of
/// snapshots, their transport by datagrams, and their persistence. Used only if the operator's file sets
/// `share`. Runs on the scheduler's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gossip/gossip.h"
#include "replication/datagram_transport.h"
#include "replication/observation_persister.h"
#include "replication/peer.h"
#include "rollout/coordinator.h"
#include "store/store.h"

namespace walkpaddle::replication {

/// Owns the replicated state of a router and connects its parts.
class ReplicationService {
 public:
  /// Configuration and callbacks. Callbacks are called from on_turn_end() and after datagrams were received.
  struct Setup {
    std::string name;                       ///< name of this router in the fleet
    Address listen;                         ///< address to receive datagrams on
    std::vector<Peer> peers;                ///< all other routers of the fleet
    std::uint32_t seed = 0;                 ///< seed of random choices
    store::Store* store = nullptr;          ///< null for no persistence; otherwise must outlive the service
    std::function<void()> on_observations;  ///< called when the fleet's observations may have changed
    /// Returns a snapshot of the routing policy's state.
    std::function<gossip::ReplicatedSnapshot()> take_snapshot;
    /// Receives the newest snapshot from before this start.
    std::function<void(const gossip::ReplicatedSnapshot&)> restore_snapshot;
    std::optional<rollout::RolloutCoordinator::Setup> rollouts{};  ///< nullopt to disable rollouts
  };
  /// `scheduler` and `log` must outlive the service. Throws SystemError if the socket cannot be bound to the
  /// address, StoreError if stored state is malformed.
  ReplicationService(Scheduler& scheduler, Log& log, const Setup& setup);
  ReplicationService(const ReplicationService&) = delete;
  ReplicationService& operator=(const ReplicationService&) = delete;

  /// Sends, saves and logs what is due. Must be called at the end of each scheduler turn.
  void on_turn_end();

  replica::ObservationTracker& tracker() { return tracker_; }                      ///< endpoint observations
  const replica::ObservationTracker& tracker() const { return tracker_; }          ///< endpoint observations
  const membership::Membership& members() const { return members_; }               ///< states of the peers
  const gossip::Gossip& gossip() const { return gossip_; }                         ///< the gossip protocol
  rollout::RolloutCoordinator* rollouts() { return rollouts_.get(); }              ///< null if disabled
  const rollout::RolloutCoordinator* rollouts() const { return rollouts_.get(); }  ///< null if disabled
  const DatagramCounts& counts() const { return transport_.counts(); }  ///< counters since the start
  /// The name of the router with this hash; "?" if the hash is unknown.
  const std::string& name_of(std::uint64_t hash) const;
  Seconds started() const { return started_; }  ///< time of construction, on the scheduler's clock

 private:
  void announce_channels();
  void build_name_table();
  void restore();
  void observations_may_have_changed();
  void exchange_snapshots();
  void log_changes();

  Scheduler& scheduler_;
  Log& log_;
  const Setup setup_;
  const Seconds started_;
  std::map<std::uint64_t, std::string> names_;  // names of all routers of the fleet, by hash
  replica::ObservationTracker tracker_;
  membership::Membership members_;
  gossip::SnapshotReplicas snapshots_;
  gossip::Gossip gossip_;
  std::uint64_t observations_notified_ = 0;  // observations received at the last check for new ones
  std::unique_ptr<rollout::RolloutCoordinator> rollouts_;
  DatagramTransport transport_;
  std::optional<ObservationPersister> persister_;       // nullopt without a store
  std::vector<membership::MemberState> logged_states_;  // by peer
  Seconds check_at_ = 0;
  Seconds save_at_ = 0;
};

}  // namespace walkpaddle::replication
