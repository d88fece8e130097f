// A simulated fleet: routers in memory, in virtual time. Each router has a membership, an observation
// tracker, snapshot replicas, gossip and the replicated states that a test adds. The simulated network loses,
// duplicates, delays and blocks datagrams, which are encoded and decoded as on the wire. Tests can crash,
// start and stall routers, disconnect them from discovery and offset their clocks. No sockets, no processes;
// the random generator is seeded.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "gossip/gossip.h"

namespace walkpaddle::testbed {

constexpr std::uint64_t kServer = 77;  // hash of the first endpoint in every router's endpoint list

struct NetworkConditions {
  double lost = 0, twice = 0;  // shares of datagrams that are lost and delivered twice
  Seconds delay = 0.002;       // each delivery takes 0.2 to 1.2 of it, at random
};

class SimulatedFleet {
 public:
  using Net = NetworkConditions;
  struct Router {
    Router(int n, int routers, Seconds now, unsigned seed, Seconds skew);
    static std::uint64_t name(int n) { return 1000 + static_cast<std::uint64_t>(n); }
    static std::vector<std::uint64_t> others(int n, int routers);
    static std::vector<std::uint64_t> all(int routers);
    replica::Health health_of(Seconds now, std::uint64_t server = kServer) const;
    const int number;
    Seconds skew;  // offset of its clock from the simulation's
    replica::ObservationTracker tracker;
    membership::Membership members;
    gossip::SnapshotReplicas snapshot_replicas;
    gossip::Gossip gossip;
    std::vector<std::unique_ptr<replica::ReplicatedState>> states;
    // Its snapshot from before its last start, once peers returned it.
    std::optional<gossip::ReplicatedSnapshot> recovered;
    bool stalled = false, discovery_connected = true;
    // Datagrams that arrived while it was stalled, with their senders.
    std::vector<std::pair<int, std::string>> queued;
  };
  // A test's additions to each router.
  struct Hooks {
    // Fills Router::states when a router starts; gossip replicates them from then on.
    std::function<void(Router&, Seconds now)> create_states;
    // Called in each time step; `now` is by the router's clock.
    std::function<void(Router&, Seconds now)> step;
  };
  SimulatedFleet(int routers, unsigned seed, Net net = {})
      : SimulatedFleet(routers, seed, net, Hooks(), 1000) {}
  // Starts the first `routers` routers of a fleet of max(routers, size).
  SimulatedFleet(int routers, unsigned seed, Net net, Hooks hooks, Seconds now, int size = 0);
  Router& operator[](int n) { return *routers_[static_cast<std::size_t>(n)]; }
  bool up(int n) const { return routers_[static_cast<std::size_t>(n)] != nullptr; }
  int size() const { return count; }
  void start(int n);
  void crash(int n) { routers_[static_cast<std::size_t>(n)].reset(); }
  void cut(int a, int b, bool both = true);
  void cut_off(int first, int last);  // isolates these routers from all others
  void skew(int n, Seconds by);       // clock offset from the router's next start on
  // Updates the first endpoint in one router's endpoint list; `started` is its start, 0: long ago.
  void set_listing(int n, EndpointState state, Seconds started = 0);
  static gossip::ReplicatedSnapshot sample_snapshot(int n);
  void go(Seconds seconds);
  template <class F>
  bool all(F&& holds) {
    for (int n = 0; n < count; ++n)
      if (up(n) && !holds((*this)[n])) return false;
    return true;
  }
  bool all_see_health(replica::Health h) {
    return all([&](Router& r) { return r.health_of(now + r.skew) == h; });
  }
  // Whether all running routers have the same observations and digests.
  bool converged();

  Net net;
  std::mt19937 chance;
  const int count;
  Seconds now;
  Seconds time_step = 0.005;                                             // virtual time per step
  std::multimap<Seconds, std::tuple<int, int, std::string>> in_transit;  // by arrival: from, to, bytes
  std::set<std::pair<int, int>> cuts;                                    // blocked links, as (from, to)
  std::uint64_t sent = 0, observations_sent = 0;                         // sent: bytes
  std::size_t largest = 0;                                               // bytes of the largest datagram
  void take(Router& r, const std::string& bytes);                        // delivers a datagram

 private:
  void send(int from, const std::string& bytes, const gossip::Packet& packet);
  const Hooks hooks_;
  std::map<int, Seconds> skews_;
  std::vector<std::unique_ptr<Router>> routers_;
};

}  // namespace walkpaddle::testbed
