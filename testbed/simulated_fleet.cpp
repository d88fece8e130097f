#include "testbed/simulated_fleet.h"

#include <algorithm>

#include "gossip/codec.h"
#include "gossip/protocol_version.h"

namespace walkpaddle::testbed {

using replica::Health;

SimulatedFleet::Router::Router(int n, int routers, Seconds now, unsigned seed, Seconds skew)
    : number(n),
      skew(skew),
      tracker(name(n), routers, {}, {}, 1.0, seed),
      members(name(n), others(n, routers), static_cast<std::uint64_t>(now * 1e3), {}, seed + 1, now),
      snapshot_replicas(members, {}, now),
      gossip(members, tracker, snapshot_replicas, {}, seed + 2, now) {
  members.announce(compat::announcement(gossip::kChannelVersions));
  tracker.note_discovery_message(now);
  for (int s = 0; s < 4; ++s)
    tracker.update_listing(s, {.hash = kServer + static_cast<std::uint64_t>(s)}, now);
}

std::vector<std::uint64_t> SimulatedFleet::Router::others(int n, int routers) {
  auto names = all(routers);
  names.erase(names.begin() + n);
  return names;
}

std::vector<std::uint64_t> SimulatedFleet::Router::all(int routers) {
  std::vector<std::uint64_t> names;
  for (int p = 0; p < routers; ++p) names.push_back(name(p));
  return names;
}

Health SimulatedFleet::Router::health_of(Seconds now, std::uint64_t server) const {
  const auto view =
      replica::view_endpoint(tracker.observations(), server, {static_cast<std::int64_t>(now * 1e6), 0});
  return view ? view->health : Health::ready;
}

SimulatedFleet::SimulatedFleet(int routers, unsigned seed, Net net, Hooks hooks, Seconds now, int size)
    : net(net), chance(seed), count(std::max(routers, size)), now(now), hooks_(std::move(hooks)) {
  routers_.resize(static_cast<std::size_t>(count));
  for (int n = 0; n < routers; ++n) start(n);
}

void SimulatedFleet::start(int n) {
  const auto it = skews_.find(n);
  const Seconds skew = it != skews_.end() ? it->second : 0.05 * (n % 3 - 1);
  auto& r = routers_[static_cast<std::size_t>(n)];
  r = std::make_unique<Router>(n, count, now + skew, chance(), skew);
  if (hooks_.create_states) hooks_.create_states(*r, now + skew);
  for (auto& kind : r->states) r->gossip.add_state(*kind);
}

void SimulatedFleet::cut(int a, int b, bool both) {
  cuts.insert({a, b});
  if (both) cuts.insert({b, a});
}

void SimulatedFleet::cut_off(int first, int last) {
  for (int a = first; a <= last; ++a)
    for (int b = 0; b < count; ++b)
      if (b < first || b > last) cut(a, b);
}

void SimulatedFleet::skew(int n, Seconds by) { skews_[n] = by; }

void SimulatedFleet::set_listing(int n, EndpointState state, Seconds started) {
  (*this)[n].tracker.update_listing(0, {.hash = kServer, .state = state, .started = started},
                                    now + (*this)[n].skew);
}

gossip::ReplicatedSnapshot SimulatedFleet::sample_snapshot(int n) {
  gossip::ReplicatedSnapshot b{.link_limit = 10.0 + n, .miss_ratio = 0.25, .service_times = {{0.5, 30}}};
  for (int server = 0; server < 200; ++server)
    b.limits.push_back({kServer + static_cast<std::uint64_t>(server), 20.0 + n, 5.0 + server});
  for (int o = 0; o < 1000; ++o) b.objects.push_back({static_cast<std::uint64_t>(o), 2.0 + o});
  return b;
}

void SimulatedFleet::go(Seconds seconds) {
  for (const Seconds until = now + seconds; now < until; now += time_step) {
    while (!in_transit.empty() && in_transit.begin()->first <= now) {
      const auto [from, to, bytes] = in_transit.begin()->second;
      in_transit.erase(in_transit.begin());
      if (!up(to)) continue;
      auto& r = (*this)[to];
      if (r.stalled)
        r.queued.emplace_back(from, bytes);
      else
        take(r, bytes);
    }
    for (int n = 0; n < count; ++n) {
      if (!up(n) || (*this)[n].stalled) continue;
      auto& r = (*this)[n];
      const Seconds own = now + r.skew;
      for (const auto& [from, bytes] : std::exchange(r.queued, {})) take(r, bytes);
      if (r.discovery_connected) r.tracker.note_discovery_message(own);
      while (const auto packet = r.gossip.next(own))
        send(n, gossip::encode_packet(*packet, r.members.self()), *packet);
      r.gossip.take_catch_up_report();
      if (r.snapshot_replicas.due(own)) r.snapshot_replicas.replicate(sample_snapshot(n), own);
      if (auto back = r.snapshot_replicas.take_recovered()) r.recovered = std::move(back);
      if (hooks_.step) hooks_.step(r, own);
    }
  }
}

void SimulatedFleet::take(Router& r, const std::string& bytes) {
  gossip::deliver_packet(
      bytes, [&](std::uint64_t who) { return r.members.peer_named(who); }, r.gossip, now + r.skew);
}

void SimulatedFleet::send(int from, const std::string& bytes, const gossip::Packet& packet) {
  const int to =
      static_cast<int>((*this)[from].members.peers()[static_cast<std::size_t>(packet.peer)].name - 1000);
  sent += bytes.size(), largest = std::max(largest, bytes.size());
  observations_sent += packet.observations.size();
  const auto roll = [&] { return std::uniform_real_distribution<>(0, 1)(chance); };
  if (cuts.contains({from, to}) || (net.lost > 0 && roll() < net.lost)) return;
  for (int times = net.twice > 0 && roll() < net.twice ? 2 : 1; times > 0; --times)
    in_transit.emplace(now + net.delay * (0.2 + roll()), std::tuple(from, to, bytes));
}

bool SimulatedFleet::converged() {
  const Router* first = nullptr;
  for (int n = 0; n < count; ++n)
    if (up(n) && first == nullptr) first = &(*this)[n];
  return all([&](Router& r) {
    return r.tracker.observations().all() == first->tracker.observations().all() &&
           r.gossip.digests() == first->gossip.digests();
  });
}

}  // namespace walkpaddle::testbed
