/// \file
/// One router's part in the fleet's replicated state: membership, endpoint observations, replicas of
/// snapshots, the datagrams that carry them, and what of it lasts on disk. Off unless the operator's file
/// says `share`. Runs on the scheduler's thread.
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

/// Owns and connects the parts.
class ReplicationService {
 public:
  /// What the host gives. The functions are called from on_turn_end() and when datagrams have come.
  struct Setup {
    std::string name;                       ///< of this router, as the fleet knows it
    Address listen;                         ///< of the datagrams
    std::vector<Peer> peers;                ///< all other routers of the fleet
    std::uint32_t seed = 0;                 ///< of the random choices
    store::Store* store = nullptr;          ///< null: nothing lasts; else it must outlive the service
    std::function<void()> on_observations;  ///< what the fleet observed may have changed
    /// What the routing policy has learnt.
    std::function<gossip::ReplicatedSnapshot()> take_snapshot;
    /// What it had learnt before this start.
    std::function<void(const gossip::ReplicatedSnapshot&)> restore_snapshot;
    std::optional<rollout::RolloutCoordinator::Setup> rollouts{};  ///< nullopt: no rollouts are made
  };
  /// `scheduler` and `log` must outlive the service. Throws SystemError if the address cannot be had,
  /// StoreError if what is stored cannot be read.
  ReplicationService(Scheduler& scheduler, Log& log, const Setup& setup);
  ReplicationService(const ReplicationService&) = delete;
  ReplicationService& operator=(const ReplicationService&) = delete;

  /// Does what is due; at a turn's end.
  void on_turn_end();

  replica::ObservationTracker& tracker() { return tracker_; }              ///< for the router's discovery
  const replica::ObservationTracker& tracker() const { return tracker_; }  ///< for reading
  const membership::Membership& members() const { return members_; }       ///< for reading
  const gossip::Gossip& gossip() const { return gossip_; }                 ///< for reading
  rollout::RolloutCoordinator* rollouts() { return rollouts_.get(); }      ///< null: no rollouts are made
  const rollout::RolloutCoordinator* rollouts() const {
    return rollouts_.get();
  }                                                                     ///< null: no rollouts are made
  const DatagramCounts& counts() const { return transport_.counts(); }  ///< since the start
  /// The name of a router by its hash; "?" for a stranger.
  const std::string& name_of(std::uint64_t hash) const;
  Seconds started() const { return started_; }  ///< on the scheduler's clock

 private:
  void announce_channels();
  void learn_names();
  void restore();
  void observations_may_have_changed();
  void exchange_snapshots();
  void log_changes();

  Scheduler& scheduler_;
  Log& log_;
  const Setup setup_;
  const Seconds started_;
  std::map<std::uint64_t, std::string> names_;  // of all routers of the fleet, by hash
  replica::ObservationTracker tracker_;
  membership::Membership members_;
  gossip::SnapshotReplicas snapshots_;
  gossip::Gossip gossip_;
  std::uint64_t received_before_ = 0;  // observations, when the host was last told
  std::unique_ptr<rollout::RolloutCoordinator> rollouts_;
  DatagramTransport transport_;
  std::optional<ObservationPersister> persister_;  // none: nothing lasts
  std::vector<membership::MemberState> logged_;    // by peer
  Seconds check_at_ = 0;
  Seconds save_at_ = 0;
};

}  // namespace walkpaddle::replication
