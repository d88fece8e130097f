// Property tests of the replicated endpoint observations: the hybrid clock, the join against a direct
// computation over all observations, the bounds, and what an ObservationTracker publishes. Prints one line
// for each property.
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <tuple>

#include "replica/endpoint_view.h"
#include "replica/hybrid_clock.h"
#include "replica/observation_tracker.h"

using namespace walkpaddle;
using namespace walkpaddle::replica;

namespace {

bool all_hold = true;

void report(const char* property, bool holds) {
  std::printf("%s: %s\n", property, holds ? "holds" : "BROKEN");
  all_hold = all_hold && holds;
}

// Few endpoints, observers, starts and times, so that generated observations often have the same key.
rc::Gen<EndpointObservation> any_observation() {
  return rc::gen::apply(
      [](int endpoint, int start, int observer, int micros, int count, int health, int limit) {
        return EndpointObservation{
            .endpoint = static_cast<std::uint64_t>(endpoint),
            .started = 10.0 * start,
            .observer = static_cast<std::uint64_t>(observer),
            .observed_at = {.micros = 1'000'000LL * micros, .count = static_cast<std::uint32_t>(count)},
            .health = static_cast<Health>(health),
            .concurrency_limit = 4.0 * limit};
      },
      rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 5), rc::gen::inRange(0, 60),
      rc::gen::inRange(0, 2), rc::gen::inRange(0, kHealthCount), rc::gen::inRange(0, 3));
}

EndpointObservations set_of(const std::vector<EndpointObservation>& observations) {
  EndpointObservations state;
  for (const auto& f : observations) state.join(f);
  return state;
}

EndpointObservations joined(const EndpointObservations& a, const EndpointObservations& b) {
  EndpointObservations state = a;
  state.join(b);
  return state;
}

bool same(const EndpointObservations& a, const EndpointObservations& b) { return a.all() == b.all(); }

// The expected view, computed from all observations ever joined.
std::optional<EndpointView> expected_view(const std::vector<EndpointObservation>& observations,
                                          std::uint64_t endpoint, HybridTimestamp now,
                                          const EndpointObservations::Bounds& bounds) {
  const Seconds life = bounds.soft_lifetime;
  const int quorum = bounds.quorum;
  std::vector<EndpointObservation> of_endpoint;
  for (const auto& f : observations)
    if (f.endpoint == endpoint) of_endpoint.push_back(f);
  if (of_endpoint.empty()) return std::nullopt;
  const Seconds started = std::ranges::max(of_endpoint, {}, &EndpointObservation::started).started;
  std::map<std::uint64_t, EndpointObservation> latest;
  for (const auto& f : of_endpoint) {
    if (f.started != started) continue;
    auto [it, fresh] = latest.try_emplace(f.observer, f);
    if (!fresh && std::tuple(f.observed_at, f.health, -f.concurrency_limit) >
                      std::tuple(it->second.observed_at, it->second.health, -it->second.concurrency_limit))
      it->second = f;
  }
  EndpointView view{.started = started, .observers = static_cast<int>(latest.size()), .newest = {}};
  for (const auto& [observer, f] : latest) {
    view.newest = std::max(view.newest, f.observed_at);
    const bool fresh = now.seconds() - f.observed_at.seconds() <= life;
    if (f.concurrency_limit > 0 && fresh)
      view.concurrency_limit = view.concurrency_limit == 0
                                   ? f.concurrency_limit
                                   : std::min(view.concurrency_limit, f.concurrency_limit);
    const bool hard = f.health == Health::draining || f.health == Health::down;
    const bool lasts = hard ? now.seconds() - f.observed_at.seconds() <= bounds.hard_lifetime : fresh;
    int ready_later = 0;
    for (const auto& [o, g] : latest)
      ready_later += o != observer && g.health == Health::ready && g.observed_at > f.observed_at;
    if (lasts && ready_later < quorum) view.health = std::max(view.health, f.health);
  }
  return view;
}

bool same_view(const std::optional<EndpointView>& a, const std::optional<EndpointView>& b) {
  if (!a || !b) return !a && !b;
  return a->started == b->started && a->health == b->health && a->concurrency_limit == b->concurrency_limit &&
         a->observers == b->observers && a->newest == b->newest;
}

void test_clock() {
  report("a timestamp is later than all issued or received before, whatever the physical clocks say",
         rc::check([] {
           HybridClock clock(1.0);
           HybridTimestamp last;
           Seconds physical = 100;
           for (const auto& [step, ahead, received] :
                *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(rc::gen::tuple(
                    rc::gen::inRange(-3, 4), rc::gen::inRange(-5, 3), rc::gen::arbitrary<bool>()))) {
             physical += 0.1 * step;  // the physical clock may go backwards
             const HybridTimestamp remote{.micros = static_cast<std::int64_t>((physical + 0.3 * ahead) * 1e6),
                                          .count = 7};
             const auto got =
                 received ? clock.receive(remote, physical) : std::optional(clock.tick(physical));
             if (!got) {
               RC_ASSERT(remote.micros > static_cast<std::int64_t>((physical + 1.0) * 1e6) - 1);
               continue;
             }
             RC_ASSERT(*got > last);
             if (received) RC_ASSERT(*got > remote);
             last = *got;
           }
         }));
  HybridClock clock(1.0);
  report("a timestamp far ahead is refused and leaves the clock unchanged",
         !clock.receive({.micros = 5'000'000, .count = 0}, 2.0) &&
             clock.tick(2.0) == HybridTimestamp{2'000'000, 0});
}

void test_join() {
  report("the join is commutative", rc::check([] {
           const auto a = set_of(*rc::gen::container<std::vector<EndpointObservation>>(any_observation()));
           const auto b = set_of(*rc::gen::container<std::vector<EndpointObservation>>(any_observation()));
           RC_ASSERT(same(joined(a, b), joined(b, a)));
         }));
  report("the join is associative", rc::check([] {
           const auto a = set_of(*rc::gen::container<std::vector<EndpointObservation>>(any_observation()));
           const auto b = set_of(*rc::gen::container<std::vector<EndpointObservation>>(any_observation()));
           const auto c = set_of(*rc::gen::container<std::vector<EndpointObservation>>(any_observation()));
           RC_ASSERT(same(joined(joined(a, b), c), joined(a, joined(b, c))));
         }));
  report("the join is idempotent, and joining a subset changes nothing", rc::check([] {
           const auto observations = *rc::gen::container<std::vector<EndpointObservation>>(any_observation());
           const auto a = set_of(observations);
           const auto part = set_of(std::vector(
               observations.begin(), observations.begin() + static_cast<long>(observations.size() / 2)));
           RC_ASSERT(same(joined(a, a), a));
           RC_ASSERT(same(joined(a, part), a));
         }));
  report("observations in any order, with duplicates, give the same set", rc::check([] {
           auto observations = *rc::gen::container<std::vector<EndpointObservation>>(any_observation());
           const auto once = set_of(observations);
           auto again = observations;
           again.insert(again.end(), observations.begin(), observations.end());
           std::mt19937 chance(*rc::gen::arbitrary<unsigned>());
           std::ranges::shuffle(again, chance);
           RC_ASSERT(same(set_of(again), once));
         }));
  report("the view equals one computed from all observations ever joined", rc::check([] {
           const auto observations = *rc::gen::container<std::vector<EndpointObservation>>(any_observation());
           const auto state = set_of(observations);
           const HybridTimestamp now{.micros = 1'000'000LL * *rc::gen::inRange(0, 90), .count = 0};
           for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint)
             RC_ASSERT(same_view(view_endpoint(state, endpoint, now),
                                 expected_view(observations, endpoint, now, state.bounds())));
         }));
  report(
      "bad observations by other observers of a known start improve nothing", rc::check([] {
        const auto a = set_of(*rc::gen::container<std::vector<EndpointObservation>>(any_observation()));
        auto bad = *rc::gen::container<std::vector<EndpointObservation>>(any_observation());
        // By new observers only, as a later observation by the same observer may improve the health.
        std::erase_if(bad, [](const EndpointObservation& f) { return f.health == Health::ready; });
        for (auto& f : bad) f.observer += 10;
        const HybridTimestamp now{.micros = 30'000'000, .count = 0};
        const auto b = set_of(bad);
        const auto both = joined(a, b);
        for (std::uint64_t endpoint = 0; endpoint < 3; ++endpoint) {
          const auto before = view_endpoint(a, endpoint, now), after = view_endpoint(both, endpoint, now);
          if (!before || after->started != before->started) continue;
          RC_ASSERT(after->health >= before->health);
          if (before->concurrency_limit > 0)
            RC_ASSERT(after->concurrency_limit > 0 && after->concurrency_limit <= before->concurrency_limit);
        }
      }));
  report(
      "a later start replaces everything of earlier ones", rc::check([] {
        const auto observations = *rc::gen::container<std::vector<EndpointObservation>>(any_observation());
        auto state = set_of(observations);
        const EndpointObservation restart{
            .endpoint = 1, .started = 99, .observer = 4, .observed_at = {1, 0}, .health = Health::cold};
        state.join(restart);
        const auto view = view_endpoint(state, 1, {2'000'000, 0});
        RC_ASSERT(view->started == 99.0 && view->observers == 1 && view->health == Health::cold);
        RC_ASSERT(state.join({.endpoint = 1,
                              .started = 10,
                              .observer = 0,
                              .observed_at = {9'000'000, 0},
                              .health = Health::ready}) == EndpointObservations::JoinResult::earlier_start);
      }));
  report("digests are equal for equal copies only, and exchanging the ranges that differ makes copies equal",
         rc::check([] {
           EndpointObservations a =
               set_of(*rc::gen::container<std::vector<EndpointObservation>>(any_observation()));
           EndpointObservations b =
               set_of(*rc::gen::container<std::vector<EndpointObservation>>(any_observation()));
           const auto equal = [&] {
             for (int r = 0; r < EndpointObservations::kDigestRanges; ++r)
               if (a.digest(r) != b.digest(r)) return false;
             return true;
           };
           RC_ASSERT(equal() == same(a, b));
           const auto expected = joined(a, b);
           for (int r = 0; r < EndpointObservations::kDigestRanges; ++r) {
             if (a.digest(r) == b.digest(r)) continue;
             const auto from_a = a.of_range(r);
             for (const auto& f : b.of_range(r)) a.join(f);
             for (const auto& f : from_a) b.join(f);
           }
           RC_ASSERT(equal() && same(a, expected) && same(b, expected));
         }));
  report("expired observations are dropped, and the digest is that of the rest", rc::check([] {
           const auto observations = *rc::gen::container<std::vector<EndpointObservation>>(any_observation());
           auto trimmed = set_of(observations);
           trimmed.trim(330);  // drops what was observed before 30 s
           EndpointObservations rest;
           for (const auto& f : set_of(observations).all())
             if (f.observed_at.seconds() >= 30) rest.join(f);
           RC_ASSERT(same(trimmed, rest) && trimmed.size() == rest.size());
           for (int r = 0; r < EndpointObservations::kDigestRanges; ++r)
             RC_ASSERT(trimmed.digest(r) == rest.digest(r));
         }));
}

void test_bounds() {
  EndpointObservations state({.endpoints = 2, .observers = 2});
  const auto drain_by = [](std::uint64_t endpoint, std::uint64_t observer) {
    return EndpointObservation{.endpoint = endpoint,
                               .observer = observer,
                               .observed_at = {1'000'000, 0},
                               .health = Health::draining};
  };
  const bool endpoints = state.join(drain_by(1, 1)) == EndpointObservations::JoinResult::changed &&
                         state.join(drain_by(2, 1)) == EndpointObservations::JoinResult::changed &&
                         state.join(drain_by(3, 1)) == EndpointObservations::JoinResult::refused;
  const bool observers = state.join(drain_by(1, 2)) == EndpointObservations::JoinResult::changed &&
                         state.join(drain_by(1, 3)) == EndpointObservations::JoinResult::refused;
  EndpointObservation invalid = drain_by(1, 1);
  invalid.concurrency_limit = -1;
  const bool wrong = state.join(invalid) == EndpointObservations::JoinResult::refused && state.refused() == 3;
  report("endpoints and observers beyond the bounds, and invalid observations, are refused and counted",
         endpoints && observers && wrong && state.endpoint_count() == 2);
  // One later observation of ready does not override a drain, two do.
  EndpointObservations quorum;
  quorum.join(drain_by(1, 1));
  quorum.join({.endpoint = 1, .observer = 2, .observed_at = {2'000'000, 0}, .health = Health::ready});
  const bool one = view_endpoint(quorum, 1, {3'000'000, 0})->health == Health::draining;
  quorum.join({.endpoint = 1, .observer = 3, .observed_at = {2'500'000, 0}, .health = Health::ready});
  const bool two = view_endpoint(quorum, 1, {3'000'000, 0})->health == Health::ready;
  quorum.join({.endpoint = 1, .observer = 4, .observed_at = {2'600'000, 0}, .health = Health::cold});
  const bool cold = view_endpoint(quorum, 1, {3'000'000, 0})->health == Health::cold &&
                    view_endpoint(quorum, 1, {23'000'000, 0})->health == Health::ready;
  report("a drain ends by two later observations of ready, a cold period by its age", one && two && cold);
}

int severity(EndpointState s) { return s == EndpointState::gone ? 2 : s == EndpointState::draining ? 1 : 0; }

void test_changes() {
  report("what the policy gets is never better than the router's own list", rc::check([] {
           ObservationTracker tracker(100, 1, {}, {}, 1.0, 1);
           std::map<int, ObservationTracker::Listing> own;
           Seconds now = 1000;
           for (const auto& [m, state, start, received] :
                *rc::gen::container<std::vector<std::tuple<int, int, int, bool>>>(
                    rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3),
                                   rc::gen::arbitrary<bool>()))) {
             now += 0.5;
             const auto hash = static_cast<std::uint64_t>(m);
             if (received) {
               tracker.receive({.endpoint = hash,
                                .started = 10.0 * start,
                                .observer = static_cast<std::uint64_t>(1 + static_cast<int>(now * 2) % 4),
                                .observed_at = {.micros = static_cast<std::int64_t>(now * 1e6), .count = 0},
                                .health = static_cast<Health>(state * 2 % kHealthCount),
                                .concurrency_limit = 0},
                               now);
             } else {
               own[m] = {.hash = hash,
                         .state = static_cast<EndpointState>(state),
                         .weight = 1,
                         .started = 10.0 * start};
               tracker.update_listing(m, own[m], now);
             }
             for (const auto& change : tracker.take_changes(now)) {
               const auto& mine = own.at(change.endpoint);
               RC_ASSERT(change.listing.started >= mine.started);
               if (change.listing.started == mine.started)
                 RC_ASSERT(severity(change.listing.state) >= severity(mine.state));
             }
           }
         }));
}

void test_refused() {
  ObservationTracker tracker(1, 2, {}, {}, 1.0, 1);
  tracker.set_fleet({1, 2});
  const EndpointObservation accepted = {
      .endpoint = 5, .observer = 2, .observed_at = {400'000'000, 0}, .health = Health::draining};
  EndpointObservation from_outside = accepted, expired = accepted;
  from_outside.observer = 9;
  expired.endpoint = 6, expired.observed_at.micros = 50'000'000;
  using JoinResult = EndpointObservations::JoinResult;
  report("an observation by a router that is not in the fleet, or an expired one, is refused and counted",
         tracker.receive(accepted, 400) == JoinResult::changed &&
             tracker.receive(accepted, 400) == JoinResult::known &&
             tracker.receive(from_outside, 400) == JoinResult::refused &&
             tracker.receive(expired, 400) == JoinResult::refused && tracker.refused() == 2 &&
             tracker.observations().size() == 1);
}

// Two routers. Only r1 has discovery; what it publishes reaches r2 at once.
struct Pair {
  ObservationTracker r1{1, 2, {}, {}, 1.0, 1}, r2{2, 2, {}, {}, 1.0, 2};
  Seconds now = 1000;
  int published = 0;
  void go(Seconds until, bool has_discovery) {
    for (; now < until; now += 0.5) {
      if (has_discovery) r1.note_discovery_message(now);
      r1.publish_due(now);
      for (const auto& key : r1.take_updates())
        ++published, r2.receive(*r1.observations().find(key.endpoint, key.observer), now);
    }
  }
  Health at_r2(std::uint64_t endpoint, Seconds t) const {
    return view_endpoint(r2.observations(), endpoint, {static_cast<std::int64_t>(t * 1e6), 0})->health;
  }
};

void test_renewal() {
  Pair p;
  p.r1.update_listing(0, {.hash = 5, .state = EndpointState::draining, .weight = 1}, p.now);
  bool held = true;
  for (int n = 0; n < 50; ++n) {
    p.go(p.now + 2, true);
    held = held && p.at_r2(5, p.now) == Health::draining;
  }
  const int renewals = p.published;
  report("a drain is renewed every ten seconds while its observer's list has it",
         held && renewals >= 8 && renewals <= 12);
  // Without discovery it does not renew the drain, which expires.
  p.go(p.now + 12, false);
  const int then = p.published;
  p.go(p.now + 60, false);
  report("a router out of contact with discovery does not renew observations from its list",
         p.published == then && p.at_r2(5, p.now) == Health::ready);
  p.go(p.now + 2, true);
  report("back in contact with discovery it publishes what its list has",
         p.at_r2(5, p.now) == Health::draining);
  // An endpoint gone from r1's list is renewed for two minutes, then left to the other routers' lists.
  p.r1.update_listing(1, {.hash = 6, .state = EndpointState::gone, .weight = 1}, p.now);
  const Seconds gone = p.now;
  bool down = true;
  while (p.now < gone + 120) {
    p.go(p.now + 2, true);
    down = down && p.at_r2(6, p.now) == Health::down;
  }
  p.go(gone + 200, true);
  report("an endpoint gone from the list is published as gone for two minutes only",
         down && p.at_r2(6, p.now) == Health::ready);
}

void test_suppression() {
  // What the fleet knows already is not published again. An endpoint is published as ready by a router that
  // published the drain or whose own list had it.
  ObservationTracker r(1, 300, {}, {}, 1.0, 3);
  r.note_discovery_message(1000);
  r.update_listing(0, {.hash = 5, .state = EndpointState::ready, .weight = 1}, 1000);
  r.publish_due(1001);
  const bool calm = r.take_updates().empty();
  r.receive({.endpoint = 5, .observer = 2, .observed_at = {1001'000'000, 0}, .health = Health::draining},
            1001);
  r.take_updates();
  r.update_listing(0, {.hash = 5, .state = EndpointState::draining, .weight = 1}, 1001.1);
  r.publish_due(1002);
  const bool silent = r.take_updates().empty();
  r.note_discovery_message(1012);
  r.publish_due(1012);
  const bool renewed = r.take_updates().size() == 1;  // no other router renewed it
  r.update_listing(0, {.hash = 5, .state = EndpointState::ready, .weight = 1}, 1012.1);
  r.publish_due(1013);
  const auto* own_observation = r.observations().find(5, 1);
  report("a drain that the fleet knows is not published, is renewed if nobody else does, and is ended",
         calm && silent && renewed && own_observation != nullptr && own_observation->health == Health::ready);
}

}  // namespace

int main() {
  test_clock();
  test_join();
  test_bounds();
  test_changes();
  test_renewal();
  test_suppression();
  test_refused();
  return all_hold ? 0 : 1;
}
