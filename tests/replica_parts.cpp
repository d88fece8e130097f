// The parts of the replicated fleet state one by one, over drawn cases: the hybrid clock, and the join of
// facts of cache servers against a plain reading of every fact ever taken. One line each.
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <tuple>

#include "replica/clock.h"
#include "replica/facts.h"
#include "replica/watch.h"

using namespace walkpaddle;
using namespace walkpaddle::replica;

namespace {

bool all_good = true;

void say(const char* what, bool good) {
  std::printf("%s: %s\n", what, good ? "holds" : "BROKEN");
  all_good = all_good && good;
}

// Few servers, observers, starts and times, so that drawn facts meet often.
rc::Gen<Fact> fact() {
  return rc::gen::apply(
      [](int server, int start, int observer, int micros, int count, int health, int limit) {
        return Fact{.server = static_cast<std::uint64_t>(server),
                    .started = 10.0 * start,
                    .observer = static_cast<std::uint64_t>(observer),
                    .seen = {.micros = 1'000'000LL * micros, .count = static_cast<std::uint32_t>(count)},
                    .health = static_cast<Health>(health),
                    .limit = 4.0 * limit};
      },
      rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 5), rc::gen::inRange(0, 60),
      rc::gen::inRange(0, 2), rc::gen::inRange(0, kHealths), rc::gen::inRange(0, 3));
}

Facts of(const std::vector<Fact>& facts) {
  Facts state;
  for (const auto& f : facts) state.take(f);
  return state;
}

Facts joined(const Facts& a, const Facts& b) {
  Facts state = a;
  state.join(b);
  return state;
}

bool same(const Facts& a, const Facts& b) { return a.all() == b.all(); }

// What the rule says, read from every fact ever taken.
std::optional<Facts::View> plain(const std::vector<Fact>& facts, std::uint64_t server, Stamp now,
                                 const Facts::Bounds& bounds) {
  const Sec life = bounds.life;
  const int quorum = bounds.quorum;
  std::vector<Fact> of;
  for (const auto& f : facts)
    if (f.server == server) of.push_back(f);
  if (of.empty()) return std::nullopt;
  const Sec started = std::ranges::max(of, {}, &Fact::started).started;
  std::map<std::uint64_t, Fact> last;
  for (const auto& f : of) {
    if (f.started != started) continue;
    auto [it, fresh] = last.try_emplace(f.observer, f);
    if (!fresh && std::tuple(f.seen, f.health, -f.limit) >
                      std::tuple(it->second.seen, it->second.health, -it->second.limit))
      it->second = f;
  }
  Facts::View view{.started = started, .observers = static_cast<int>(last.size()), .newest = {}};
  for (const auto& [observer, f] : last) {
    view.newest = std::max(view.newest, f.seen);
    const bool fresh = now.seconds() - f.seen.seconds() <= life;
    if (f.limit > 0 && fresh) view.limit = view.limit == 0 ? f.limit : std::min(view.limit, f.limit);
    const bool hard = f.health == Health::draining || f.health == Health::down;
    const bool lasts = hard ? now.seconds() - f.seen.seconds() <= bounds.hard_life : fresh;
    int ready_later = 0;
    for (const auto& [o, g] : last)
      ready_later += o != observer && g.health == Health::ready && g.seen > f.seen;
    if (lasts && ready_later < quorum) view.health = std::max(view.health, f.health);
  }
  return view;
}

bool same_view(const std::optional<Facts::View>& a, const std::optional<Facts::View>& b) {
  if (!a || !b) return !a && !b;
  return a->started == b->started && a->health == b->health && a->limit == b->limit &&
         a->observers == b->observers && a->newest == b->newest;
}

void clock_parts() {
  say("a stamp follows every stamp given or heard, whatever the clocks say", rc::check([] {
        Clock clock(1.0);
        Stamp last;
        Sec physical = 100;
        for (const auto& [step, ahead, heard] :
             *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(rc::gen::tuple(
                 rc::gen::inRange(-3, 4), rc::gen::inRange(-5, 3), rc::gen::arbitrary<bool>()))) {
          physical += 0.1 * step;  // the physical clock may step back
          const Stamp remote{.micros = static_cast<std::int64_t>((physical + 0.3 * ahead) * 1e6), .count = 7};
          const auto got = heard ? clock.heard(remote, physical) : std::optional(clock.tick(physical));
          if (!got) {
            RC_ASSERT(remote.micros > static_cast<std::int64_t>((physical + 1.0) * 1e6) - 1);
            continue;
          }
          RC_ASSERT(*got > last);
          if (heard) RC_ASSERT(*got > remote);
          last = *got;
        }
      }));
  Clock clock(1.0);
  say("a stamp far ahead is refused and leaves the clock as it was",
      !clock.heard({.micros = 5'000'000, .count = 0}, 2.0) && clock.tick(2.0) == Stamp{2'000'000, 0});
}

void join_parts() {
  say("the join is commutative", rc::check([] {
        const auto a = of(*rc::gen::container<std::vector<Fact>>(fact()));
        const auto b = of(*rc::gen::container<std::vector<Fact>>(fact()));
        RC_ASSERT(same(joined(a, b), joined(b, a)));
      }));
  say("the join is associative", rc::check([] {
        const auto a = of(*rc::gen::container<std::vector<Fact>>(fact()));
        const auto b = of(*rc::gen::container<std::vector<Fact>>(fact()));
        const auto c = of(*rc::gen::container<std::vector<Fact>>(fact()));
        RC_ASSERT(same(joined(joined(a, b), c), joined(a, joined(b, c))));
      }));
  say("the join is idempotent, and a copy joined with its own part is unchanged", rc::check([] {
        const auto facts = *rc::gen::container<std::vector<Fact>>(fact());
        const auto a = of(facts);
        const auto part = of(std::vector(facts.begin(), facts.begin() + static_cast<long>(facts.size() / 2)));
        RC_ASSERT(same(joined(a, a), a));
        RC_ASSERT(same(joined(a, part), a));
      }));
  say("facts in any order, lost ones sent again and duplicates, give one state", rc::check([] {
        auto facts = *rc::gen::container<std::vector<Fact>>(fact());
        const auto once = of(facts);
        auto again = facts;
        again.insert(again.end(), facts.begin(), facts.end());
        std::mt19937 chance(*rc::gen::arbitrary<unsigned>());
        std::ranges::shuffle(again, chance);
        RC_ASSERT(same(of(again), once));
      }));
  say("what is read is the rule over every fact ever taken", rc::check([] {
        const auto facts = *rc::gen::container<std::vector<Fact>>(fact());
        const auto state = of(facts);
        const Stamp now{.micros = 1'000'000LL * *rc::gen::inRange(0, 90), .count = 0};
        for (std::uint64_t server = 0; server < 3; ++server)
          RC_ASSERT(same_view(state.view(server, now), plain(facts, server, now, state.bounds())));
      }));
  say("bad news from others, of a start that is known, makes nothing better", rc::check([] {
        const auto a = of(*rc::gen::container<std::vector<Fact>>(fact()));
        auto bad = *rc::gen::container<std::vector<Fact>>(fact());
        // From routers not heard of yet: an observer's own later word may be better, and is its to give.
        std::erase_if(bad, [](const Fact& f) { return f.health == Health::ready; });
        for (auto& f : bad) f.observer += 10;
        const Stamp now{.micros = 30'000'000, .count = 0};
        const auto b = of(bad);
        const auto both = joined(a, b);
        for (std::uint64_t server = 0; server < 3; ++server) {
          const auto before = a.view(server, now), after = both.view(server, now);
          if (!before || after->started != before->started) continue;
          RC_ASSERT(after->health >= before->health);
          if (before->limit > 0) RC_ASSERT(after->limit > 0 && after->limit <= before->limit);
        }
      }));
  say("a later start wins outright", rc::check([] {
        const auto facts = *rc::gen::container<std::vector<Fact>>(fact());
        auto state = of(facts);
        const Fact restart{.server = 1, .started = 99, .observer = 4, .seen = {1, 0}, .health = Health::cold};
        state.take(restart);
        const auto view = state.view(1, {2'000'000, 0});
        RC_ASSERT(view->started == 99.0 && view->observers == 1 && view->health == Health::cold);
        RC_ASSERT(state.take({.server = 1,
                              .started = 10,
                              .observer = 0,
                              .seen = {9'000'000, 0},
                              .health = Health::ready}) == Facts::Took::old_start);
      }));
  say("deltas since a number, in bounded batches, bring a peer to the same state", rc::check([] {
        const auto facts = *rc::gen::container<std::vector<Fact>>(fact());
        const auto from = of(facts);
        Facts to = of(*rc::gen::container<std::vector<Fact>>(fact()));
        const auto expected = joined(to, from);
        std::uint64_t held = 0;
        for (int batches = 0; batches < 1000; ++batches) {
          std::uint64_t through = 0;
          const auto delta = from.since(held, 3, &through);
          for (const auto& f : delta) to.take(f);
          RC_ASSERT(through >= held);
          if (delta.empty()) break;
          held = through;
        }
        RC_ASSERT(same(to, expected));
      }));
}

void bound_parts() {
  Facts state({.servers = 2, .observers = 2, .life = 20, .hard_life = 30, .quorum = 2});
  const auto fact = [](std::uint64_t server, std::uint64_t observer) {
    return Fact{.server = server, .observer = observer, .seen = {1'000'000, 0}, .health = Health::draining};
  };
  const bool servers = state.take(fact(1, 1)) == Facts::Took::news &&
                       state.take(fact(2, 1)) == Facts::Took::news &&
                       state.take(fact(3, 1)) == Facts::Took::refused;
  const bool observers =
      state.take(fact(1, 2)) == Facts::Took::news && state.take(fact(1, 3)) == Facts::Took::refused;
  Fact wild = fact(1, 1);
  wild.limit = -1;
  const bool wrong = state.take(wild) == Facts::Took::refused && state.refused() == 3;
  say("servers and observers past their bounds, and facts that cannot be, are refused and counted",
      servers && observers && wrong && state.servers() == 2);
  // One router's drain stands against one that saw the server ready later, and falls to two.
  Facts quorum;
  quorum.take(fact(1, 1));
  quorum.take({.server = 1, .observer = 2, .seen = {2'000'000, 0}, .health = Health::ready});
  const bool one = quorum.view(1, {3'000'000, 0})->health == Health::draining;
  quorum.take({.server = 1, .observer = 3, .seen = {2'500'000, 0}, .health = Health::ready});
  const bool two = quorum.view(1, {3'000'000, 0})->health == Health::ready;
  quorum.take({.server = 1, .observer = 4, .seen = {2'600'000, 0}, .health = Health::cold});
  const bool cold = quorum.view(1, {3'000'000, 0})->health == Health::cold &&
                    quorum.view(1, {23'000'000, 0})->health == Health::ready;
  say("a drain falls to two later words of ready, a cold spell to its age", one && two && cold);
}

int badness(Listed s) { return s == Listed::gone ? 2 : s == Listed::draining ? 1 : 0; }

void watch_parts() {
  say("what the module is told is never better than the router's own list", rc::check([] {
        Watch watch(100, 0, {}, {}, 1.0);
        std::map<int, Watch::Listing> own;
        Sec now = 1000;
        for (const auto& [m, state, start, heard] :
             *rc::gen::container<std::vector<std::tuple<int, int, int, bool>>>(
                 rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3),
                                rc::gen::arbitrary<bool>()))) {
          now += 0.5;
          const auto hash = static_cast<std::uint64_t>(m);
          if (heard) {
            watch.heard({.server = hash,
                         .started = 10.0 * start,
                         .observer = static_cast<std::uint64_t>(1 + static_cast<int>(now * 2) % 4),
                         .seen = {.micros = static_cast<std::int64_t>(now * 1e6), .count = 0},
                         .health = static_cast<Health>(state * 2 % kHealths),
                         .limit = 0},
                        now);
          } else {
            own[m] = {
                .hash = hash, .state = static_cast<Listed>(state), .weight = 1, .started = 10.0 * start};
            watch.listed(m, own[m], now);
          }
          for (const auto& tell : watch.to_tell(now)) {
            const auto& mine = own.at(tell.member);
            RC_ASSERT(tell.listing.started >= mine.started);
            if (tell.listing.started == mine.started)
              RC_ASSERT(badness(tell.listing.state) >= badness(mine.state));
          }
        }
      }));
  say("two routers over a link that lost most batches come to hold the same facts once it heals",
      rc::check([] {
        Watch a(1, 1, {}, {}, 1.0), b(2, 1, {}, {}, 1.0);
        Sec now = 1000;
        for (int m = 0; m < *rc::gen::inRange(1, 40); ++m) {
          a.listed(m, {.hash = static_cast<std::uint64_t>(m), .state = Listed::draining}, now);
          b.listed(m, {.hash = static_cast<std::uint64_t>(100 + m), .state = Listed::gone}, now);
        }
        a.up(0), b.up(0);
        std::mt19937 chance(*rc::gen::arbitrary<unsigned>());
        // Lossy for a while, then whole for a few seconds: drains are said again meanwhile.
        for (int step = 0; step < 2010; ++step) {
          now += 0.25;
          const bool lossy = step < 2000;
          for (auto [from, to] : {std::pair(&a, &b), std::pair(&b, &a)})
            while (const auto send = from->next(now)) {
              if (lossy && chance() % 4 != 0) continue;  // lost
              for (const auto& f : send->facts) to->heard(f, now);
              if (!lossy || chance() % 2 == 0) from->held(0, send->through);  // acknowledgements too
            }
        }
        RC_ASSERT(a.facts().all() == b.facts().all());
      }));
}

void stranger_parts() {
  Watch watch(1, 1, {}, {}, 1.0);
  watch.members_of_fleet({1, 2});
  const Fact of = {.server = 5, .observer = 2, .seen = {1'000'000, 0}, .health = Health::draining};
  Fact stranger = of;
  stranger.observer = 9;
  say("a fact of a router that is not of the fleet is refused and counted",
      watch.heard(of, 1) && !watch.heard(stranger, 1) && watch.refused() == 1 &&
          watch.facts().all().size() == 1);
}

void renewal_parts() {
  // r1's bus says box 5 drains; r2 hears it while r1 lives, and for no longer than the longer life after.
  Watch r1(1, 1, {}, {}, 1.0), r2(2, 1, {}, {}, 1.0);
  r1.listed(0, {.hash = 5, .state = Listed::draining, .weight = 1}, 1000);
  r2.listed(0, {.hash = 5, .state = Listed::ready, .weight = 1}, 1000);
  r1.up(0), r2.up(0);
  bool held_while_alive = true;
  Sec now = 1000;
  for (; now < 1100; now += 0.5) {
    while (const auto send = r1.next(now)) {
      for (const auto& f : send->facts) r2.heard(f, now);
      r1.held(0, send->through);
    }
    r2.to_tell(now);
    held_while_alive =
        held_while_alive &&
        r2.facts().view(5, {static_cast<std::int64_t>(now * 1e6), 0})->health == Health::draining;
  }
  const auto after = [&](Sec t) {
    return r2.facts().view(5, {static_cast<std::int64_t>((now + t) * 1e6), 0})->health;
  };
  // r1 is gone for good now.
  say("a drain is said again while its observer lives, and ends a longer life after it is gone",
      held_while_alive && after(19) == Health::draining && after(31) == Health::ready);
  // A server gone from r1's list: said again for two minutes, then left to the others' lists.
  r1.listed(1, {.hash = 6, .state = Listed::gone, .weight = 1}, now);
  const auto health_at = [&](Sec t) {
    return r2.facts().view(6, {static_cast<std::int64_t>(t * 1e6), 0})->health;
  };
  bool down_a_while = true;
  const Sec gone = now;
  for (; now < gone + 200; now += 0.5) {
    while (const auto send = r1.next(now)) {
      for (const auto& f : send->facts) r2.heard(f, now);
      r1.held(0, send->through);
    }
    if (now < gone + 120) down_a_while = down_a_while && health_at(now) == Health::down;
  }
  say("a server gone from the list is said to be gone for two minutes, not for ever",
      down_a_while && health_at(now) == Health::ready);
}

}  // namespace

int main() {
  clock_parts();
  join_parts();
  bound_parts();
  watch_parts();
  renewal_parts();
  stranger_parts();
  return all_good ? 0 : 1;
}
