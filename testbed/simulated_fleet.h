// The laboratory's fleet in memory: routers in virtual time, each with its membership, its observation
// tracker, its replicas of snapshots, its gossip and the kinds of state that a test gives it, over a network
// that loses, doubles, delays and cuts, with crashes, starts, stalls, late buses and clocks that are off;
// every datagram goes through its bytes. No socket, no process; chance is seeded.
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

constexpr std::uint64_t kServer = 77;  // the first of the servers that all lists name

struct NetworkConditions {
  double lost = 0, twice = 0;
  Seconds delay = 0.002;
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
    Seconds skew;  // of its clock
    replica::ObservationTracker tracker;
    membership::Membership members;
    gossip::SnapshotReplicas snapshot_replicas;
    gossip::Gossip gossip;
    std::vector<std::unique_ptr<replica::ReplicatedState>> states;
    std::optional<gossip::ReplicatedSnapshot> recovered;  // what it had learnt before its start
    bool stalled = false, discovery_connected = true;
    std::vector<std::pair<int, std::string>> held;  // came while it was stalled
  };
  // What a test's routers have beside the rest, and what they do at each step.
  struct Hooks {
    std::function<void(Router&, Seconds now)>
        create_states;  // at a start: kinds are made; gossip carries them afterwards
    std::function<void(Router&, Seconds now)> step;  // on the router's own clock
  };
  SimulatedFleet(int routers, unsigned seed, Net net = {})
      : SimulatedFleet(routers, seed, net, Hooks(), 1000) {}
  // size: of the fleet, where fewer than that start at once.
  SimulatedFleet(int routers, unsigned seed, Net net, Hooks hooks, Seconds now, int size = 0);
  Router& operator[](int n) { return *routers_[static_cast<std::size_t>(n)]; }
  bool up(int n) const { return routers_[static_cast<std::size_t>(n)] != nullptr; }
  int size() const { return count; }
  void start(int n);
  void crash(int n) { routers_[static_cast<std::size_t>(n)].reset(); }
  void cut(int a, int b, bool both = true);
  void cut_off(int first, int last);  // these from all others
  void skew(int n, Seconds by);       // of its clock, from its next start on
  // What one router's bus says of the first server.
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
  bool converged();

  Net net;
  std::mt19937 chance;
  const int count;
  Seconds now;
  Seconds time_step = 0.005;  // of a step
  std::multimap<Seconds, std::tuple<int, int, std::string>> in_transit;
  std::set<std::pair<int, int>> cuts;
  std::uint64_t sent = 0, observations_sent = 0;
  std::size_t largest = 0;
  void take(Router& r, const std::string& bytes);  // a datagram

 private:
  void send(int from, const std::string& bytes, const gossip::Packet& packet);
  const Hooks hooks_;
  std::map<int, Seconds> skews_;
  std::vector<std::unique_ptr<Router>> routers_;
};

}  // namespace walkpaddle::testbed
