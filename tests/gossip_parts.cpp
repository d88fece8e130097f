// Membership, endpoint observations, gossip and snapshot replicas in a fleet of routers in memory
// (testbed/memory.h), with datagrams lost, duplicated and delayed, partitions, crashes, restarts, stalls and
// late discovery. Prints one line for each property that must hold.
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "base/text.h"
#include "gossip/codec.h"
#include "testbed/simulated_fleet.h"

using namespace walkpaddle;
using namespace walkpaddle::gossip;
using replica::EndpointObservation, replica::EndpointObservations, replica::Health, replica::HybridTimestamp,
    replica::ObservationTracker;
using testbed::kServer;
using World = testbed::SimulatedFleet;

namespace {

bool all_hold = true;

void report(const char* property, bool holds) {
  std::printf("%s: %s\n", property, holds ? "holds" : "BROKEN");
  std::fflush(stdout);
  all_hold = all_hold && holds;
}

using State = membership::MemberState;

int count_of(World& w, int n, State state) {
  return static_cast<int>(std::ranges::count(w[n].members.peers(), state, &membership::Peer::state));
}

void test_membership() {
  {
    World w(20, 1);
    w.go(3);
    report("routers that start together all see each other alive",
           w.all([](World::Router& r) { return r.members.alive_count() == 19; }));
    w.crash(7);
    w.go(20);
    const bool dead = w.all([&](World::Router& r) {
      const int p = r.members.peer_named(World::Router::name(7));
      return p < 0 || r.members.peers()[static_cast<std::size_t>(p)].state == State::dead;
    });
    report("a crashed router is dead to all others within twenty seconds, and no other router is",
           dead && w.all([](World::Router& r) { return r.members.alive_count() == 18; }));
    w.start(7);
    w.go(4);
    report("a restarted router is alive to all others, and they to it",
           w.all([](World::Router& r) { return r.members.alive_count() == 19; }));
  }
  {
    World w(12, 2, {.lost = 0.2, .twice = 0.1, .delay = 0.05});
    w.go(60);
    bool never_dead = true;
    for (int second = 0; second < 60; ++second) {
      w.go(1);
      for (int n = 0; n < 12; ++n) never_dead = never_dead && count_of(w, n, State::dead) == 0;
    }
    report("with a fifth of the datagrams lost no running router is taken for dead", never_dead);
  }
  {
    World w(12, 3);
    w.go(3);
    w[4].stalled = true;
    w.go(2.5);  // shorter than the suspicion timeout
    const bool suspected = w.all([&](World::Router& r) { return r.members.alive_count() == 11; });
    w[4].stalled = false;
    w.go(2);
    bool any_not_alive = false;
    for (int n = 0; n < 12; ++n) any_not_alive = any_not_alive || count_of(w, n, State::alive) != 11;
    report("a stalled router refutes the suspicion when it resumes, and suspects nobody itself",
           suspected && !any_not_alive && w[4].members.suspicions() == 0 &&
               w[4].members.self().incarnation > 1'000'000);
  }
  {
    World w(8, 4);
    w.go(3);
    for (int n = 0; n < 8; ++n)
      if (n != 0 && n != 1) w.cut(0, n, false), w.cut(n, 0, false);  // 0 exchanges datagrams with 1 only
    w.go(30);
    report("a router that only one other router can reach is not taken for dead",
           w.all([](World::Router& r) { return r.members.alive_count() == 7; }));
  }
}

void test_rumours() {
  {
    World w(50, 5, {.lost = 0.2, .twice = 0.2, .delay = 0.02});
    w.go(5);
    const auto sent_before = w.observations_sent;
    w.set_listing(0, EndpointState::draining);
    w.go(0.5);
    const bool known = w.all_see_health(Health::draining);
    report(
        "a drain in one router's list reaches fifty routers in half a second, with datagrams lost, "
        "duplicated and reordered",
        sent_before == 0 && known);
    w.go(20);
    report("the drain stays in force while that list has it", w.all_see_health(Health::draining));
    w.set_listing(0, EndpointState::ready);
    w.go(1);
    report("the drain ends with a later observation by the same observer", w.all_see_health(Health::ready));
  }
  {
    World w(100, 6);
    w.go(5);
    for (int n = 0; n < 100; ++n) w.set_listing(n, EndpointState::draining);  // all lists at once
    w.go(3);
    const auto observations = w[50].tracker.observations().size();
    report("a drain in a hundred lists at once takes at most fifty observations",
           observations >= 1 && observations <= 50);
    for (int n = 0; n < 100; ++n) w.set_listing(n, EndpointState::ready);
    w.go(2);
    report("all routers see the end of that drain", w.all_see_health(Health::ready) && w.converged());
  }
  {
    World w(40, 7);
    w.go(10);
    const auto before = w.sent;
    w.go(20);
    const double each = static_cast<double>(w.sent - before) / 20 / 40;
    World large(120, 7);
    large.go(10);
    const auto large_before = large.sent;
    large.go(20);
    const double each_large = static_cast<double>(large.sent - large_before) / 20 / 120;
    report("without changes a router sends as much in a fleet of 120 as in one of 40, under 4 kB a second",
           each < 4000 && each_large < 4000 && each_large < 1.2 * each);
    report("no datagram is longer than an Ethernet frame", large.largest < 1472 && w.largest < 1472);
  }
}

void test_faults() {
  {
    World w(16, 8);
    w.go(3);
    for (int a = 0; a < 8; ++a)
      for (int b = 8; b < 16; ++b) w.cut(a, b);
    w.set_listing(0, EndpointState::draining);
    w.go(20);  // by now each side takes the other for dead
    bool sides_differ = true;
    for (int n = 0; n < 16; ++n)
      sides_differ = sides_differ && (w[n].health_of(w.now) == Health::draining) == (n < 8);
    const bool dead = count_of(w, 0, State::dead) == 8;
    w.cuts.clear();
    w.go(12);
    report("two sides of a partition work apart, and agree again after it",
           sides_differ && dead && w.all_see_health(Health::draining) && w.converged() &&
               w.all([](World::Router& r) { return r.members.alive_count() == 15; }));
  }
  for (const Seconds downtime : {10.0, 600.0}) {
    World w(10, 9, {.lost = 0.05});
    w.go(3);
    w.crash(3);
    w.set_listing(0, EndpointState::draining);
    w.go(downtime);
    w.start(3);
    w.go(1);
    report(downtime < 60 ? "a router that was down for 10 s has caught up a second after its start"
                         : "a router that was down for 10 minutes has caught up a second after its start",
           w[3].health_of(w.now + w[3].skew) == Health::draining && !w[3].gossip.catching_up());
  }
  {
    // Router 2 loses its discovery while its list has a drain, stalls for a minute and resumes.
    World w(10, 10);
    w.go(3);
    w.set_listing(2, EndpointState::draining);
    w.go(1);
    w[2].discovery_connected = false;
    w[2].stalled = true;
    w.go(60);
    const bool expired =
        w.all([&](World::Router& r) { return &r == &w[2] || r.health_of(w.now) == Health::ready; });
    w[2].stalled = false;
    w.go(30);
    const bool not_published = w.all([&](World::Router& r) { return r.health_of(w.now) == Health::ready; });
    w[2].discovery_connected = true;
    w.go(2);
    report("a router that resumes after a stall does not publish its old list until discovery is in contact",
           expired && not_published && w.all_see_health(Health::draining));
  }
  {
    World w(10, 11);
    w.go(3);
    w.set_listing(0, EndpointState::draining);
    w.go(2);
    w.set_listing(1, EndpointState::ready, w.now);  // restarted at the same address
    w.go(1);
    const bool cold = w.all_see_health(Health::cold);
    // An observation of the run before the restart arrives late.
    w[5].tracker.receive({.endpoint = kServer,
                          .observer = World::Router::name(0),
                          .observed_at = {static_cast<std::int64_t>(w.now * 1e6), 0},
                          .health = Health::draining},
                         w.now);
    w.go(2);
    report("a restarted endpoint is cold for all, whatever an observation from before the restart says",
           cold && w.all_see_health(Health::cold));
  }
  {
    World w(24, 12);
    w.go(3);
    w.set_listing(0, EndpointState::draining);
    w.go(2);
    for (int n = 0; n < 24; ++n) w.crash(n);
    for (int n = 0; n < 24; ++n) w.start(n);
    w.set_listing(0, EndpointState::draining);
    w.go(4);
    report("a fleet that starts all at once sees all members alive and knows of the drain",
           w.all_see_health(Health::draining) && w.all([](World::Router& r) {
             return r.members.alive_count() == 23 && !r.gossip.catching_up();
           }));
  }
  report("after any sequence of random faults all routers agree", rc::check([] {
           const auto seed = *rc::gen::arbitrary<unsigned>();
           World w(8, seed, {.lost = 0.1, .twice = 0.1, .delay = 0.05});
           for (int step = 0; step < 12; ++step) {
             const int n = static_cast<int>(w.chance() % 8), m = static_cast<int>(w.chance() % 8);
             switch (w.chance() % 7) {
               case 0:
                 w.up(n) ? w.crash(n) : w.start(n);
                 break;
               case 1:
                 w.cut(n, m, false);
                 break;
               case 2:
                 w.cuts.clear();
                 break;
               case 3:
                 if (w.up(n)) w[n].stalled = !w[n].stalled;
                 break;
               case 4:
                 if (w.up(n)) w.set_listing(n, EndpointState::draining);
                 break;
               case 5:
                 if (w.up(n)) w.set_listing(n, EndpointState::ready);
                 break;
               case 6:
                 if (w.up(n)) w.set_listing(n, EndpointState::ready, w.now);
                 break;
             }
             w.go(0.5 + 0.1 * (w.chance() % 40));
           }
           w.cuts.clear();
           w.net = {};
           for (int n = 0; n < 8; ++n) {
             if (!w.up(n)) w.start(n);
             w[n].stalled = false;
           }
           // All lists end up equal, as they come from one discovery service; the final state follows them.
           for (int n = 0; n < 8; ++n) w.set_listing(n, EndpointState::ready, 990);
           w.go(25);
           const bool agree = w.converged() || (w.go(2), w.converged()) || (w.go(2), w.converged());
           RC_ASSERT(agree);
           RC_ASSERT(w.all([](World::Router& r) { return r.members.alive_count() == 7; }));
         }));
}

void test_snapshot_replicas() {
  World w(30, 16, {.lost = 0.1, .twice = 0.1, .delay = 0.02});
  w.go(25);
  const auto replica_count = [&] {
    int all = 0;
    for (int n = 0; n < 30; ++n)
      all += w.up(n) ? static_cast<int>(w[n].snapshot_replicas.replica_count()) : 0;
    return all;
  };
  report("each router's snapshot is stored by a few others",
         replica_count() >= 30 * 3 && replica_count() <= 30 * 6);
  w.crash(4);
  w.go(5);
  w.start(4);
  w.go(2);
  const auto& recovered = w[4].recovered;
  const auto expected = World::sample_snapshot(4);
  bool own_recovered = recovered && recovered->router == World::Router::name(4) &&
                       recovered->link_limit == expected.link_limit &&
                       recovered->miss_ratio == expected.miss_ratio &&
                       recovered->service_times == expected.service_times &&
                       recovered->limits.size() == 200 && w.now - recovered->taken_at < 20;
  own_recovered = own_recovered && recovered->objects.size() == 256 &&
                  std::ranges::find(recovered->objects, ReplicatedSnapshot::ObjectCount{999, 1001.0}) !=
                      recovered->objects.end();
  for (const auto& limit : expected.limits)
    own_recovered = own_recovered && std::ranges::find(recovered->limits, limit) != recovered->limits.end();
  report("a restarted router recovers its own snapshot, with its age, in two seconds despite losses",
         own_recovered);
  bool others_have_none = true;
  for (int n = 0; n < 30; ++n) others_have_none = others_have_none && (n == 4 || !w[n].recovered);
  report("no other router recovers a snapshot", others_have_none);
  // Snapshots of a third router and invalid parts are dropped.
  SnapshotReplicas replicas(w[0].members, {}, w.now);
  ReplicatedSnapshot snapshot{.router = 1, .taken_at = w.now};
  replicas.receive(2, snapshot, w.now);
  snapshot.router = 2, snapshot.part = 3, snapshot.parts = 2;
  replicas.receive(2, snapshot, w.now);
  snapshot.part = 0, snapshot.parts = 1, snapshot.taken_at = w.now + 100;
  replicas.receive(2, snapshot, w.now);
  report("a snapshot of a third router, with invalid part numbers or from the future is dropped",
         replicas.replica_count() == 0);
  replicas.restore(World::sample_snapshot(0));
  report("a snapshot without a time is not recovered", !replicas.take_recovered());
  ReplicatedSnapshot old{.router = 2, .taken_at = w.now};
  replicas.receive(2, old, w.now);
  const bool stored = replicas.replica_count() == 1;
  replicas.replicate({}, w.now + 301);
  report("a replica is dropped after five minutes", stored && replicas.replica_count() == 0);
}

// A datagram survives encoding and decoding, a corrupted or truncated one is refused or has bounded effect,
// and one from a router that is not in the fleet has none.
void test_codec() {
  World w(2, 13);
  const EndpointObservation observation{.endpoint = 7,
                                        .started = 12.5,
                                        .observer = 1001,
                                        .observed_at = {.micros = 999'000'000, .count = 2},
                                        .health = Health::draining,
                                        .concurrency_limit = 6};
  const Packet packet{.kind = PacketKind::rumours,
                      .peer = 0,
                      .records = {{World::Router::name(1), 2'000'000, State::suspect, 5}},
                      .observations = {observation}};
  const auto bytes = encode_packet(packet, w[1].members.self());
  w.take(w[0], bytes);
  const auto* read = w[0].tracker.observations().find(7, 1001);
  report("a decoded datagram equals the encoded one", read != nullptr && *read == observation &&
                                                          w[0].members.peers()[0].state == State::suspect &&
                                                          w[0].members.peers()[0].incarnation == 2'000'000);
  report("an observation decoded from the store equals the encoded one",
         decode_observation(encode_observation(observation)) == observation);
  bool bounded = true, unknown_sender_ignored = true;
  for (std::size_t bit = 0; bit < 8 * bytes.size(); ++bit) {
    auto corrupted = bytes;
    corrupted[bit / 8] = static_cast<char>(corrupted[bit / 8] ^ 1 << bit % 8);
    World other(2, 14);
    try {
      other.take(other[0], corrupted);
      other.take(other[0], corrupted.substr(0, bit / 8));
    } catch (const InputError&) {
    }
    bounded = bounded && other[0].tracker.observations().size() <= 1;
  }
  World other(2, 15);
  unknown_sender_ignored = !deliver_packet(
                               bytes, [](std::uint64_t) { return -1; }, other[0].gossip, other.now) &&
                           other[0].tracker.observations().size() == 0;
  report("a corrupted or truncated datagram is refused or has bounded effect; an unknown sender's has none",
         bounded && unknown_sender_ignored);
}

}  // namespace

int main() {
  test_membership();
  test_rumours();
  test_faults();
  test_snapshot_replicas();
  test_codec();
  return all_hold ? 0 : 1;
}
