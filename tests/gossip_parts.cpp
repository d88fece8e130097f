// A fleet's routers in memory (lab/memory.h): members, watch, gossip and keepers, under losses, doubles,
// delays, cuts, crashes, starts, stalls and late buses. One line for each thing that must hold.
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
#include "lab/memory.h"

using namespace walkpaddle;
using namespace walkpaddle::gossip;
using lab::kServer;
using replica::EndpointObservation, replica::EndpointObservations, replica::Health, replica::HybridTimestamp,
    replica::ObservationTracker;
using World = lab::Memory;

namespace {

bool all_good = true;

void say(const char* what, bool good) {
  std::printf("%s: %s\n", what, good ? "holds" : "BROKEN");
  std::fflush(stdout);
  all_good = all_good && good;
}

using State = membership::MemberState;

int count_of(World& w, int n, State state) {
  return static_cast<int>(std::ranges::count(w[n].members.peers(), state, &membership::Peer::state));
}

void member_parts() {
  {
    World w(20, 1);
    w.go(3);
    say("routers that start together come to see all others alive",
        w.all([](World::Router& r) { return r.members.alive_count() == 19; }));
    w.crash(7);
    w.go(20);
    const bool dead = w.all([&](World::Router& r) {
      const int p = r.members.peer_named(World::Router::name(7));
      return p < 0 || r.members.peers()[static_cast<std::size_t>(p)].state == State::dead;
    });
    say("one that crashed is dead to all within twenty seconds, the others are not",
        dead && w.all([](World::Router& r) { return r.members.alive_count() == 18; }));
    w.start(7);
    w.go(4);
    say("started again it is alive to all, and sees all",
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
    say("with a fifth of the datagrams lost nobody alive is taken for dead", never_dead);
  }
  {
    World w(12, 3);
    w.go(3);
    w[4].stalled = true;
    w.go(2.5);  // shorter than a suspicion lasts
    const bool suspected = w.all([&](World::Router& r) { return r.members.alive_count() == 11; });
    w[4].stalled = false;
    w.go(2);
    bool accused = false;
    for (int n = 0; n < 12; ++n) accused = accused || count_of(w, n, State::alive) != 11;
    say("one that stood still refutes what is suspected of it, and accuses nobody",
        suspected && !accused && w[4].members.suspicions() == 0 &&
            w[4].members.self().incarnation > 1'000'000);
  }
  {
    World w(8, 4);
    w.go(3);
    for (int n = 0; n < 8; ++n)
      if (n != 0 && n != 1) w.cut(0, n, false), w.cut(n, 0, false);  // 0 is heard by 1 alone
    w.go(30);
    say("one that is reached through another alone is not taken for dead",
        w.all([](World::Router& r) { return r.members.alive_count() == 7; }));
  }
}

void spread_parts() {
  {
    World w(50, 5, {.lost = 0.2, .twice = 0.2, .delay = 0.02});
    w.go(5);
    const auto calm = w.facts_sent;
    w.bus(0, EndpointState::draining);
    w.go(0.5);
    const bool known = w.all_take_for(Health::draining);
    say("a drain on one bus is known to fifty routers in half a second, with losses, doubles and overtaking",
        calm == 0 && known);
    w.go(20);
    say("it stands while that list says so", w.all_take_for(Health::draining));
    w.bus(0, EndpointState::ready);
    w.go(1);
    say("it ends with its observer's later word", w.all_take_for(Health::ready));
  }
  {
    World w(100, 6);
    w.go(5);
    for (int n = 0; n < 100; ++n) w.bus(n, EndpointState::draining);  // all buses at once
    w.go(3);
    const auto facts = w[50].tracker.observations().size();
    say("a drain on a hundred buses at once costs a part of a hundred facts", facts >= 1 && facts <= 50);
    for (int n = 0; n < 100; ++n) w.bus(n, EndpointState::ready);
    w.go(2);
    say("and is taken back by all", w.all_take_for(Health::ready) && w.equal());
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
    say("in calm a router sends as much in a fleet of 120 as in one of 40, under 4 kB a second",
        each < 4000 && each_large < 4000 && each_large < 1.2 * each);
    say("no datagram is longer than a frame", large.largest < 1472 && w.largest < 1472);
  }
}

void fault_parts() {
  {
    World w(16, 8);
    w.go(3);
    for (int a = 0; a < 8; ++a)
      for (int b = 8; b < 16; ++b) w.cut(a, b);
    w.bus(0, EndpointState::draining);
    w.go(20);  // each side takes the other for dead by now
    bool apart = true;
    for (int n = 0; n < 16; ++n) apart = apart && (w[n].takes_for(w.now) == Health::draining) == (n < 8);
    const bool dead = count_of(w, 0, State::dead) == 8;
    w.cuts.clear();
    w.go(12);
    say("two sides of a cut go on apart, and are one again after it",
        apart && dead && w.all_take_for(Health::draining) && w.equal() &&
            w.all([](World::Router& r) { return r.members.alive_count() == 15; }));
  }
  for (const Seconds away : {10.0, 600.0}) {
    World w(10, 9, {.lost = 0.05});
    w.go(3);
    w.crash(3);
    w.bus(0, EndpointState::draining);
    w.go(away);
    w.start(3);
    w.go(1);
    say(away < 60 ? "a router away for 10 s has caught up a second after its start"
                  : "a router away for 10 minutes has caught up a second after its start",
        w[3].takes_for(w.now + w[3].skew) == Health::draining && !w[3].gossip.catching_up());
  }
  {
    // r2's bus dies while its list says that the server drains; r2 stands still for a minute and wakes.
    World w(10, 10);
    w.go(3);
    w.bus(2, EndpointState::draining);
    w.go(1);
    w[2].bus = false;
    w[2].stalled = true;
    w.go(60);
    const bool over =
        w.all([&](World::Router& r) { return &r == &w[2] || r.takes_for(w.now) == Health::ready; });
    w[2].stalled = false;
    w.go(30);
    const bool still = w.all([&](World::Router& r) { return r.takes_for(w.now) == Health::ready; });
    w[2].bus = true;
    w.go(2);
    say("a stalled router that wakes with old beliefs does not spread them as new, until its bus speaks",
        over && still && w.all_take_for(Health::draining));
  }
  {
    World w(10, 11);
    w.go(3);
    w.bus(0, EndpointState::draining);
    w.go(2);
    w.bus(1, EndpointState::ready, w.now);  // started anew at the same address
    w.go(1);
    const bool cold = w.all_take_for(Health::cold);
    // An old copy of the earlier start's drain comes again.
    w[5].tracker.receive({.endpoint = kServer,
                          .observer = World::Router::name(0),
                          .observed_at = {static_cast<std::int64_t>(w.now * 1e6), 0},
                          .health = Health::draining},
                         w.now);
    w.go(2);
    say("a server that started anew is cold for all, whatever an old copy says",
        cold && w.all_take_for(Health::cold));
  }
  {
    World w(24, 12);
    w.go(3);
    w.bus(0, EndpointState::draining);
    w.go(2);
    for (int n = 0; n < 24; ++n) w.crash(n);
    for (int n = 0; n < 24; ++n) w.start(n);
    w.bus(0, EndpointState::draining);
    w.go(4);
    say("the whole fleet starts at once, sees itself and knows the drain",
        w.all_take_for(Health::draining) &&
            w.all([](World::Router& r) { return r.members.alive_count() == 23 && !r.gossip.catching_up(); }));
  }
  say("after any seeded hour's faults in a minute, what lives agrees", rc::check([] {
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
              if (w.up(n)) w.bus(n, EndpointState::draining);
              break;
            case 5:
              if (w.up(n)) w.bus(n, EndpointState::ready);
              break;
            case 6:
              if (w.up(n)) w.bus(n, EndpointState::ready, w.now);
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
        // All lists come to say the same, as one bus tells all in the end: what they say last stands.
        for (int n = 0; n < 8; ++n) w.bus(n, EndpointState::ready, 990);
        w.go(25);
        const bool agree = w.equal() || (w.go(2), w.equal()) || (w.go(2), w.equal());
        RC_ASSERT(agree);
        RC_ASSERT(w.all([](World::Router& r) { return r.members.alive_count() == 7; }));
      }));
}

void keeper_parts() {
  World w(30, 16, {.lost = 0.1, .twice = 0.1, .delay = 0.02});
  w.go(25);
  const auto kept = [&] {
    int all = 0;
    for (int n = 0; n < 30; ++n)
      all += w.up(n) ? static_cast<int>(w[n].snapshot_replicas.replica_count()) : 0;
    return all;
  };
  say("what each router has learnt is kept by a few others", kept() >= 30 * 3 && kept() <= 30 * 6);
  w.crash(4);
  w.go(5);
  w.start(4);
  w.go(2);
  const auto& back = w[4].recovered;
  const auto wanted = World::learnt_by(4);
  bool own = back && back->router == World::Router::name(4) && back->link_limit == wanted.link_limit &&
             back->miss_ratio == wanted.miss_ratio && back->service_times == wanted.service_times &&
             back->limits.size() == 200 && w.now - back->taken_at < 20;
  own = own && back->objects.size() == 256 &&
        std::ranges::find(back->objects, ReplicatedSnapshot::ObjectCount{999, 1001.0}) != back->objects.end();
  for (const auto& limit : wanted.limits)
    own = own && std::ranges::find(back->limits, limit) != back->limits.end();
  say("one that returns has its own back, and its age, in two seconds with losses", own);
  bool others = true;
  for (int n = 0; n < 30; ++n) others = others && (n == 4 || !w[n].recovered);
  say("nobody else is given any", others);
  // Nobody speaks for a third, parts that do not fit are dropped.
  SnapshotReplicas k(w[0].members, {}, w.now);
  ReplicatedSnapshot third{.router = 1, .taken_at = w.now};
  k.receive(2, third, w.now);
  third.router = 2, third.part = 3, third.parts = 2;
  k.receive(2, third, w.now);
  third.part = 0, third.parts = 1, third.taken_at = w.now + 100;
  k.receive(2, third, w.now);
  say("what speaks for a third, does not fit or is of the future is dropped", k.replica_count() == 0);
  k.restore(World::learnt_by(0));
  say("what is of no time is none", !k.take_recovered());
  ReplicatedSnapshot old{.router = 2, .taken_at = w.now};
  k.receive(2, old, w.now);
  const bool held = k.replica_count() == 1;
  k.replicate({}, w.now + 301);
  say("what a router left is dropped after five minutes", held && k.replica_count() == 0);
}

// Each datagram reads back as it was, cut off or spoilt it is refused or bounded, and nothing of a stranger
// is taken.
void wire_parts() {
  World w(2, 13);
  const EndpointObservation f{.endpoint = 7,
                              .started = 12.5,
                              .observer = 1001,
                              .observed_at = {.micros = 999'000'000, .count = 2},
                              .health = Health::draining,
                              .concurrency_limit = 6};
  const Packet packet{.kind = PacketKind::rumours,
                      .peer = 0,
                      .records = {{World::Router::name(1), 2'000'000, State::suspect, 5}},
                      .observations = {f}};
  const auto bytes = encode_packet(packet, w[1].members.self());
  w.take(w[0], bytes);
  const auto* read = w[0].tracker.observations().find(7, 1001);
  say("a datagram reads back as it was written", read != nullptr && *read == f &&
                                                     w[0].members.peers()[0].state == State::suspect &&
                                                     w[0].members.peers()[0].incarnation == 2'000'000);
  say("a fact reads back from the store as it was written", decode_observation(encode_observation(f)) == f);
  bool bounded = true, stranger = true;
  for (std::size_t bit = 0; bit < 8 * bytes.size(); ++bit) {
    auto spoilt = bytes;
    spoilt[bit / 8] = static_cast<char>(spoilt[bit / 8] ^ 1 << bit % 8);
    World other(2, 14);
    try {
      other.take(other[0], spoilt);
      other.take(other[0], spoilt.substr(0, bit / 8));
    } catch (const InputError&) {
    }
    bounded = bounded && other[0].tracker.observations().size() <= 1;
  }
  World other(2, 15);
  stranger = !deliver_packet(
                 bytes, [](std::uint64_t) { return -1; }, other[0].gossip, other.now) &&
             other[0].tracker.observations().size() == 0;
  say("spoilt or cut off it is refused or bounded; of a stranger nothing is taken", bounded && stranger);
}

}  // namespace

int main() {
  member_parts();
  spread_parts();
  fault_parts();
  keeper_parts();
  wire_parts();
  return all_good ? 0 : 1;
}
