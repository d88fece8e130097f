// The parts of the replicated fleet state one by one, over drawn cases: the hybrid clock, and the join of
// facts of cache servers against a plain reading of every fact ever taken. One line each.
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

bool all_good = true;

void say(const char* what, bool good) {
  std::printf("%s: %s\n", what, good ? "holds" : "BROKEN");
  all_good = all_good && good;
}

// Few servers, observers, starts and times, so that drawn facts meet often.
rc::Gen<EndpointObservation> fact() {
  return rc::gen::apply(
      [](int server, int start, int observer, int micros, int count, int health, int limit) {
        return EndpointObservation{
            .endpoint = static_cast<std::uint64_t>(server),
            .started = 10.0 * start,
            .observer = static_cast<std::uint64_t>(observer),
            .observed_at = {.micros = 1'000'000LL * micros, .count = static_cast<std::uint32_t>(count)},
            .health = static_cast<Health>(health),
            .concurrency_limit = 4.0 * limit};
      },
      rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 5), rc::gen::inRange(0, 60),
      rc::gen::inRange(0, 2), rc::gen::inRange(0, kHealthCount), rc::gen::inRange(0, 3));
}

EndpointObservations of(const std::vector<EndpointObservation>& facts) {
  EndpointObservations state;
  for (const auto& f : facts) state.join(f);
  return state;
}

EndpointObservations joined(const EndpointObservations& a, const EndpointObservations& b) {
  EndpointObservations state = a;
  state.join(b);
  return state;
}

bool same(const EndpointObservations& a, const EndpointObservations& b) { return a.all() == b.all(); }

// What the rule says, read from every fact ever taken.
std::optional<EndpointView> plain(const std::vector<EndpointObservation>& facts, std::uint64_t server,
                                  HybridTimestamp now, const EndpointObservations::Bounds& bounds) {
  const Seconds life = bounds.soft_lifetime;
  const int quorum = bounds.quorum;
  std::vector<EndpointObservation> of;
  for (const auto& f : facts)
    if (f.endpoint == server) of.push_back(f);
  if (of.empty()) return std::nullopt;
  const Seconds started = std::ranges::max(of, {}, &EndpointObservation::started).started;
  std::map<std::uint64_t, EndpointObservation> last;
  for (const auto& f : of) {
    if (f.started != started) continue;
    auto [it, fresh] = last.try_emplace(f.observer, f);
    if (!fresh && std::tuple(f.observed_at, f.health, -f.concurrency_limit) >
                      std::tuple(it->second.observed_at, it->second.health, -it->second.concurrency_limit))
      it->second = f;
  }
  EndpointView view{.started = started, .observers = static_cast<int>(last.size()), .newest = {}};
  for (const auto& [observer, f] : last) {
    view.newest = std::max(view.newest, f.observed_at);
    const bool fresh = now.seconds() - f.observed_at.seconds() <= life;
    if (f.concurrency_limit > 0 && fresh)
      view.concurrency_limit = view.concurrency_limit == 0
                                   ? f.concurrency_limit
                                   : std::min(view.concurrency_limit, f.concurrency_limit);
    const bool hard = f.health == Health::draining || f.health == Health::down;
    const bool lasts = hard ? now.seconds() - f.observed_at.seconds() <= bounds.hard_lifetime : fresh;
    int ready_later = 0;
    for (const auto& [o, g] : last)
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

void clock_parts() {
  say("a stamp follows every stamp given or heard, whatever the clocks say", rc::check([] {
        HybridClock clock(1.0);
        HybridTimestamp last;
        Seconds physical = 100;
        for (const auto& [step, ahead, heard] :
             *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(rc::gen::tuple(
                 rc::gen::inRange(-3, 4), rc::gen::inRange(-5, 3), rc::gen::arbitrary<bool>()))) {
          physical += 0.1 * step;  // the physical clock may step back
          const HybridTimestamp remote{.micros = static_cast<std::int64_t>((physical + 0.3 * ahead) * 1e6),
                                       .count = 7};
          const auto got = heard ? clock.receive(remote, physical) : std::optional(clock.tick(physical));
          if (!got) {
            RC_ASSERT(remote.micros > static_cast<std::int64_t>((physical + 1.0) * 1e6) - 1);
            continue;
          }
          RC_ASSERT(*got > last);
          if (heard) RC_ASSERT(*got > remote);
          last = *got;
        }
      }));
  HybridClock clock(1.0);
  say("a stamp far ahead is refused and leaves the clock as it was",
      !clock.receive({.micros = 5'000'000, .count = 0}, 2.0) &&
          clock.tick(2.0) == HybridTimestamp{2'000'000, 0});
}

void join_parts() {
  say("the join is commutative", rc::check([] {
        const auto a = of(*rc::gen::container<std::vector<EndpointObservation>>(fact()));
        const auto b = of(*rc::gen::container<std::vector<EndpointObservation>>(fact()));
        RC_ASSERT(same(joined(a, b), joined(b, a)));
      }));
  say("the join is associative", rc::check([] {
        const auto a = of(*rc::gen::container<std::vector<EndpointObservation>>(fact()));
        const auto b = of(*rc::gen::container<std::vector<EndpointObservation>>(fact()));
        const auto c = of(*rc::gen::container<std::vector<EndpointObservation>>(fact()));
        RC_ASSERT(same(joined(joined(a, b), c), joined(a, joined(b, c))));
      }));
  say("the join is idempotent, and a copy joined with its own part is unchanged", rc::check([] {
        const auto facts = *rc::gen::container<std::vector<EndpointObservation>>(fact());
        const auto a = of(facts);
        const auto part = of(std::vector(facts.begin(), facts.begin() + static_cast<long>(facts.size() / 2)));
        RC_ASSERT(same(joined(a, a), a));
        RC_ASSERT(same(joined(a, part), a));
      }));
  say("facts in any order, lost ones sent again and duplicates, give one state", rc::check([] {
        auto facts = *rc::gen::container<std::vector<EndpointObservation>>(fact());
        const auto once = of(facts);
        auto again = facts;
        again.insert(again.end(), facts.begin(), facts.end());
        std::mt19937 chance(*rc::gen::arbitrary<unsigned>());
        std::ranges::shuffle(again, chance);
        RC_ASSERT(same(of(again), once));
      }));
  say("what is read is the rule over every fact ever taken", rc::check([] {
        const auto facts = *rc::gen::container<std::vector<EndpointObservation>>(fact());
        const auto state = of(facts);
        const HybridTimestamp now{.micros = 1'000'000LL * *rc::gen::inRange(0, 90), .count = 0};
        for (std::uint64_t server = 0; server < 3; ++server)
          RC_ASSERT(same_view(view_endpoint(state, server, now), plain(facts, server, now, state.bounds())));
      }));
  say("bad news from others, of a start that is known, makes nothing better", rc::check([] {
        const auto a = of(*rc::gen::container<std::vector<EndpointObservation>>(fact()));
        auto bad = *rc::gen::container<std::vector<EndpointObservation>>(fact());
        // From routers not heard of yet: an observer's own later word may be better, and is its to give.
        std::erase_if(bad, [](const EndpointObservation& f) { return f.health == Health::ready; });
        for (auto& f : bad) f.observer += 10;
        const HybridTimestamp now{.micros = 30'000'000, .count = 0};
        const auto b = of(bad);
        const auto both = joined(a, b);
        for (std::uint64_t server = 0; server < 3; ++server) {
          const auto before = view_endpoint(a, server, now), after = view_endpoint(both, server, now);
          if (!before || after->started != before->started) continue;
          RC_ASSERT(after->health >= before->health);
          if (before->concurrency_limit > 0)
            RC_ASSERT(after->concurrency_limit > 0 && after->concurrency_limit <= before->concurrency_limit);
        }
      }));
  say("a later start wins outright", rc::check([] {
        const auto facts = *rc::gen::container<std::vector<EndpointObservation>>(fact());
        auto state = of(facts);
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
  say("digests tell equal copies from others, and ranges that differ, exchanged, make copies equal",
      rc::check([] {
        EndpointObservations a = of(*rc::gen::container<std::vector<EndpointObservation>>(fact()));
        EndpointObservations b = of(*rc::gen::container<std::vector<EndpointObservation>>(fact()));
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
  say("what is past its time is dropped, and the digest is that of the rest", rc::check([] {
        const auto facts = *rc::gen::container<std::vector<EndpointObservation>>(fact());
        auto trimmed = of(facts);
        trimmed.trim(330);  // what was seen before 30 s
        EndpointObservations rest;
        for (const auto& f : of(facts).all())
          if (f.observed_at.seconds() >= 30) rest.join(f);
        RC_ASSERT(same(trimmed, rest) && trimmed.size() == rest.size());
        for (int r = 0; r < EndpointObservations::kDigestRanges; ++r)
          RC_ASSERT(trimmed.digest(r) == rest.digest(r));
      }));
}

void bound_parts() {
  EndpointObservations state({.endpoints = 2, .observers = 2});
  const auto fact = [](std::uint64_t server, std::uint64_t observer) {
    return EndpointObservation{
        .endpoint = server, .observer = observer, .observed_at = {1'000'000, 0}, .health = Health::draining};
  };
  const bool servers = state.join(fact(1, 1)) == EndpointObservations::JoinResult::changed &&
                       state.join(fact(2, 1)) == EndpointObservations::JoinResult::changed &&
                       state.join(fact(3, 1)) == EndpointObservations::JoinResult::refused;
  const bool observers = state.join(fact(1, 2)) == EndpointObservations::JoinResult::changed &&
                         state.join(fact(1, 3)) == EndpointObservations::JoinResult::refused;
  EndpointObservation wild = fact(1, 1);
  wild.concurrency_limit = -1;
  const bool wrong = state.join(wild) == EndpointObservations::JoinResult::refused && state.refused() == 3;
  say("servers and observers past their bounds, and facts that cannot be, are refused and counted",
      servers && observers && wrong && state.endpoint_count() == 2);
  // One router's drain stands against one that saw the server ready later, and falls to two.
  EndpointObservations quorum;
  quorum.join(fact(1, 1));
  quorum.join({.endpoint = 1, .observer = 2, .observed_at = {2'000'000, 0}, .health = Health::ready});
  const bool one = view_endpoint(quorum, 1, {3'000'000, 0})->health == Health::draining;
  quorum.join({.endpoint = 1, .observer = 3, .observed_at = {2'500'000, 0}, .health = Health::ready});
  const bool two = view_endpoint(quorum, 1, {3'000'000, 0})->health == Health::ready;
  quorum.join({.endpoint = 1, .observer = 4, .observed_at = {2'600'000, 0}, .health = Health::cold});
  const bool cold = view_endpoint(quorum, 1, {3'000'000, 0})->health == Health::cold &&
                    view_endpoint(quorum, 1, {23'000'000, 0})->health == Health::ready;
  say("a drain falls to two later words of ready, a cold spell to its age", one && two && cold);
}

int badness(EndpointState s) { return s == EndpointState::gone ? 2 : s == EndpointState::draining ? 1 : 0; }

void watch_parts() {
  say("what the module is told is never better than the router's own list", rc::check([] {
        ObservationTracker watch(100, 1, {}, {}, 1.0, 1);
        std::map<int, ObservationTracker::Listing> own;
        Seconds now = 1000;
        for (const auto& [m, state, start, heard] :
             *rc::gen::container<std::vector<std::tuple<int, int, int, bool>>>(
                 rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3),
                                rc::gen::arbitrary<bool>()))) {
          now += 0.5;
          const auto hash = static_cast<std::uint64_t>(m);
          if (heard) {
            watch.receive({.endpoint = hash,
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
            watch.update_listing(m, own[m], now);
          }
          for (const auto& tell : watch.take_changes(now)) {
            const auto& mine = own.at(tell.endpoint);
            RC_ASSERT(tell.listing.started >= mine.started);
            if (tell.listing.started == mine.started)
              RC_ASSERT(badness(tell.listing.state) >= badness(mine.state));
          }
        }
      }));
}

void stranger_parts() {
  ObservationTracker watch(1, 2, {}, {}, 1.0, 1);
  watch.set_fleet({1, 2});
  const EndpointObservation of = {
      .endpoint = 5, .observer = 2, .observed_at = {400'000'000, 0}, .health = Health::draining};
  EndpointObservation stranger = of, old = of;
  stranger.observer = 9;
  old.endpoint = 6, old.observed_at.micros = 50'000'000;
  using JoinResult = EndpointObservations::JoinResult;
  say("a fact of a router that is not of the fleet, or past its time, is refused and counted",
      watch.receive(of, 400) == JoinResult::changed && watch.receive(of, 400) == JoinResult::known &&
          watch.receive(stranger, 400) == JoinResult::refused &&
          watch.receive(old, 400) == JoinResult::refused && watch.refused() == 2 &&
          watch.observations().size() == 1);
}

// r1's bus speaks to r1; what r1 says is carried to r2 at once.
struct Pair {
  ObservationTracker r1{1, 2, {}, {}, 1.0, 1}, r2{2, 2, {}, {}, 1.0, 2};
  Seconds now = 1000;
  int said = 0;
  void go(Seconds until, bool bus_heard) {
    for (; now < until; now += 0.5) {
      if (bus_heard) r1.note_discovery_message(now);
      r1.publish_due(now);
      for (const auto& key : r1.take_updates())
        ++said, r2.receive(*r1.observations().find(key.endpoint, key.observer), now);
    }
  }
  Health at_r2(std::uint64_t server, Seconds t) const {
    return view_endpoint(r2.observations(), server, {static_cast<std::int64_t>(t * 1e6), 0})->health;
  }
};

void renewal_parts() {
  Pair p;
  p.r1.update_listing(0, {.hash = 5, .state = EndpointState::draining, .weight = 1}, p.now);
  bool held = true;
  for (int n = 0; n < 50; ++n) {
    p.go(p.now + 2, true);
    held = held && p.at_r2(5, p.now) == Health::draining;
  }
  const int renewals = p.said;
  say("a drain is said again while its observer's list says so, one word in ten seconds",
      held && renewals >= 8 && renewals <= 12);
  // Its bus falls silent: what it believes is not said as new, and ends.
  p.go(p.now + 12, false);
  const int then = p.said;
  p.go(p.now + 60, false);
  say("a router whose list was not heard of lately does not say old beliefs as new",
      p.said == then && p.at_r2(5, p.now) == Health::ready);
  p.go(p.now + 2, true);
  say("once its list speaks again it says what still stands", p.at_r2(5, p.now) == Health::draining);
  // A server gone from r1's list: said again for two minutes, then left to the others' lists.
  p.r1.update_listing(1, {.hash = 6, .state = EndpointState::gone, .weight = 1}, p.now);
  const Seconds gone = p.now;
  bool down = true;
  while (p.now < gone + 120) {
    p.go(p.now + 2, true);
    down = down && p.at_r2(6, p.now) == Health::down;
  }
  p.go(gone + 200, true);
  say("a server gone from the list is said to be gone for two minutes, not for ever",
      down && p.at_r2(6, p.now) == Health::ready);
}

void silence_parts() {
  // What the fleet knows already is not said again; good news is said by who said the bad, and by witnesses.
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
  const bool renewed = r.take_updates().size() == 1;  // nobody else did
  r.update_listing(0, {.hash = 5, .state = EndpointState::ready, .weight = 1}, 1012.1);
  r.publish_due(1013);
  const auto* word = r.observations().find(5, 1);
  say("a list's word is kept back where the fleet knows it, renewed where nobody does, and taken back",
      calm && silent && renewed && word != nullptr && word->health == Health::ready);
}

}  // namespace

int main() {
  clock_parts();
  join_parts();
  bound_parts();
  watch_parts();
  renewal_parts();
  silence_parts();
  stranger_parts();
  return all_good ? 0 : 1;
}
