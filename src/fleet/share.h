// One router's part in the fleet's shared state: who is alive, what is known of the cache servers, the
// datagrams that carry both, and what of it lasts on disk. Off unless the operator's file says `share`.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet/datagrams.h"
#include "fleet/links.h"
#include "rollout/coordinator.h"
#include "store/store.h"

namespace walkpaddle::fleet {

class Share {
 public:
  using Peer = Links::Peer;
  struct Setup {
    std::string name;
    Address listen;
    std::vector<Peer> peers;
    std::uint32_t seed = 0;
    store::Store* store = nullptr;     // null: nothing lasts
    std::function<void()> look_again;  // what the fleet says of the servers may have changed
    // What the module has learnt, and what it had learnt before this start.
    std::function<Belief()> learnt;
    std::function<void(const Belief&)> take_learnt;
    std::optional<rollout::RolloutCoordinator::Setup> changes{};  // nullopt: none are made
  };
  // Throws SystemError if the address cannot be had; StoreError if what is stored cannot be read.
  Share(Scheduler& scheduler, Log& log, const Setup& setup);
  void pull();  // at a turn's end

  replica::Watch& watch() { return watch_; }
  const replica::Watch& watch() const { return watch_; }
  const Members& members() const { return members_; }
  const Gossip& gossip() const { return gossip_; }
  rollout::RolloutCoordinator* changes() { return changes_.get(); }  // null: none are made
  const rollout::RolloutCoordinator* changes() const { return changes_.get(); }
  const Datagrams::Counts& counts() const { return datagrams_.counts(); }
  const std::string& name_of(std::uint64_t name) const;  // of a router by its hash; "?" for a stranger
  Seconds started() const { return started_; }

 private:
  void restore();
  void keep();
  void believe();
  void say_changes();

  Scheduler& scheduler_;
  Log& log_;
  const Setup setup_;
  const Seconds started_;
  std::map<std::uint64_t, std::string> names_;
  replica::Watch watch_;
  Members members_;
  Keepers keepers_;
  Gossip gossip_;
  std::uint64_t looked_at_ = 0;  // facts heard when the module was last told
  std::unique_ptr<rollout::RolloutCoordinator> changes_;
  Datagrams datagrams_;
  std::map<replica::Watch::Key, replica::Stamp> stored_;
  std::vector<Members::State> said_;
  Seconds look_at_ = 0, keep_at_ = 0;
  bool said_failed_ = false;
};

}  // namespace walkpaddle::fleet
