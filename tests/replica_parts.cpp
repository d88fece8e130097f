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
  const Seconds life = bounds.life;
  const int quorum = bounds.quorum;
  std::vector<Fact> of;
  for (const auto& f : facts)
    if (f.server == server) of.push_back(f);
  if (of.empty()) return std::nullopt;
  const Seconds started = std::ranges::max(of, {}, &Fact::started).started;
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
        Seconds physical = 100;
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
  say("digests tell equal copies from others, and ranges that differ, exchanged, make copies equal",
      rc::check([] {
        Facts a = of(*rc::gen::container<std::vector<Fact>>(fact()));
        Facts b = of(*rc::gen::container<std::vector<Fact>>(fact()));
        const auto equal = [&] {
          for (int r = 0; r < Facts::kRanges; ++r)
            if (a.digest(r) != b.digest(r)) return false;
          return true;
        };
        RC_ASSERT(equal() == same(a, b));
        const auto expected = joined(a, b);
        for (int r = 0; r < Facts::kRanges; ++r) {
          if (a.digest(r) == b.digest(r)) continue;
          const auto from_a = a.of_range(r);
          for (const auto& f : b.of_range(r)) a.take(f);
          for (const auto& f : from_a) b.take(f);
        }
        RC_ASSERT(equal() && same(a, expected) && same(b, expected));
      }));
  say("what is past its time is dropped, and the digest is that of the rest", rc::check([] {
        const auto facts = *rc::gen::container<std::vector<Fact>>(fact());
        auto trimmed = of(facts);
        trimmed.trim(330);  // what was seen before 30 s
        Facts rest;
        for (const auto& f : of(facts).all())
          if (f.seen.seconds() >= 30) rest.take(f);
        RC_ASSERT(same(trimmed, rest) && trimmed.size() == rest.size());
        for (int r = 0; r < Facts::kRanges; ++r) RC_ASSERT(trimmed.digest(r) == rest.digest(r));
      }));
}

void bound_parts() {
  Facts state({.servers = 2, .observers = 2});
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

int badness(EndpointState s) { return s == EndpointState::gone ? 2 : s == EndpointState::draining ? 1 : 0; }

void watch_parts() {
  say("what the module is told is never better than the router's own list", rc::check([] {
        Watch watch(100, 1, {}, {}, 1.0, 1);
        std::map<int, Watch::Listing> own;
        Seconds now = 1000;
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
            own[m] = {.hash = hash,
                      .state = static_cast<EndpointState>(state),
                      .weight = 1,
                      .started = 10.0 * start};
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
}

void stranger_parts() {
  Watch watch(1, 2, {}, {}, 1.0, 1);
  watch.members_of_fleet({1, 2});
  const Fact of = {.server = 5, .observer = 2, .seen = {400'000'000, 0}, .health = Health::draining};
  Fact stranger = of, old = of;
  stranger.observer = 9;
  old.server = 6, old.seen.micros = 50'000'000;
  using Took = Facts::Took;
  say("a fact of a router that is not of the fleet, or past its time, is refused and counted",
      watch.heard(of, 400) == Took::news && watch.heard(of, 400) == Took::known &&
          watch.heard(stranger, 400) == Took::refused && watch.heard(old, 400) == Took::refused &&
          watch.refused() == 2 && watch.facts().size() == 1);
}

// r1's bus speaks to r1; what r1 says is carried to r2 at once.
struct Pair {
  Watch r1{1, 2, {}, {}, 1.0, 1}, r2{2, 2, {}, {}, 1.0, 2};
  Seconds now = 1000;
  int said = 0;
  void go(Seconds until, bool bus_heard) {
    for (; now < until; now += 0.5) {
      if (bus_heard) r1.list_heard(now);
      r1.speak(now);
      for (const auto& key : r1.take_news())
        ++said, r2.heard(*r1.facts().find(key.server, key.observer), now);
    }
  }
  Health at_r2(std::uint64_t server, Seconds t) const {
    return r2.facts().view(server, {static_cast<std::int64_t>(t * 1e6), 0})->health;
  }
};

void renewal_parts() {
  Pair p;
  p.r1.listed(0, {.hash = 5, .state = EndpointState::draining, .weight = 1}, p.now);
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
  p.r1.listed(1, {.hash = 6, .state = EndpointState::gone, .weight = 1}, p.now);
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
  Watch r(1, 300, {}, {}, 1.0, 3);
  r.list_heard(1000);
  r.listed(0, {.hash = 5, .state = EndpointState::ready, .weight = 1}, 1000);
  r.speak(1001);
  const bool calm = r.take_news().empty();
  r.heard({.server = 5, .observer = 2, .seen = {1001'000'000, 0}, .health = Health::draining}, 1001);
  r.take_news();
  r.listed(0, {.hash = 5, .state = EndpointState::draining, .weight = 1}, 1001.1);
  r.speak(1002);
  const bool silent = r.take_news().empty();
  r.list_heard(1012);
  r.speak(1012);
  const bool renewed = r.take_news().size() == 1;  // nobody else did
  r.listed(0, {.hash = 5, .state = EndpointState::ready, .weight = 1}, 1012.1);
  r.speak(1013);
  const auto* word = r.facts().find(5, 1);
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
