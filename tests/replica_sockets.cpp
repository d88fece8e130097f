// Eight routers as processes with faults between them, datagrams lost, doubled and overtaking: a drain that
// one router's bus tells is heeded by all, over cut links, after a crash, a stall, a cut in two, and a start
// of the whole fleet; a restart told to one is a new start at all. Then the same without sharing, where the
// others go on: the test can tell the one from the other. One line each.
//   replica_sockets [SEED]
#include <signal.h>

#include <cstdio>
#include <cstdlib>

#include "lab/fleet.h"

using namespace walkpaddle;

namespace {

bool all_good = true;

void say(const char* what, bool good) {
  std::printf("%s: %s\n", what, good ? "holds" : "BROKEN");
  std::fflush(stdout);
  all_good = all_good && good;
}

// Each check waits past the 2 s that a router may take to heed what it was told, then counts for 2 s.
constexpr Seconds kHeed = 2.5, kCount = 2, kAtLast = 15;
constexpr int kRouters = 8, kBoxes = 4;
using AnnouncedState = lab::Fleet::AnnouncedState;

struct Play {
  Play(bool share, unsigned seed)
      : fleet({.routers = kRouters,
               .boxes = kBoxes,
               .objects = 60,
               .share = share,
               .seed = seed,
               .store = share}) {}

  static std::string box(int n) { return "s-000000b" + std::to_string(n); }
  bool logged(int n, const std::string& line) const {
    return fleet.log_of(n).find(line) != std::string::npos;
  }
  // What `walkpaddle fleet` says at every running router.
  bool all_say(const std::string& words) const {
    for (int n = 0; n < kRouters; ++n)
      if (fleet.running(n) && fleet.word_of(n).find(words) == std::string::npos) return false;
    return true;
  }
  // Of what a box serves while nothing changes.
  Task count(int b) {
    Event e(fleet.scheduler());
    const int mark = fleet.served(b);
    co_await e.wait(fleet.scheduler().now() + kCount);
    counted = fleet.served(b) - mark;
    done.set();
  }

  Task shared() {
    auto& s = fleet.scheduler();
    Event e(s);
    const auto pause = [&](Seconds t) { return e.wait(s.now() + t); };
    co_await pause(3);
    say("eight routers see each other alive", all_say("7 of 7 others alive"));

    // A tenth of the datagrams lost, as many sent twice, all delayed so that they overtake each other; r0 is
    // heard by r1 alone.
    fleet.links().faults({.lost = 0.1, .twice = 0.1, .delay = 0.03});
    for (int n = 2; n < kRouters; ++n) fleet.cut(0, n, 1e15);
    fleet.says(0, 0, AnnouncedState::draining);
    co_await pause(kHeed);
    s.start(count(0));
    co_await done.wait();
    say("a drain told to one router, heard by one other alone, is heeded by all", counted == 0);

    fleet.kill(1);
    co_await pause(1);
    fleet.start(1);
    co_await pause(kHeed);
    s.start(count(0));
    co_await done.wait();
    say("a router killed and started again heeds it",
        counted == 0 && logged(1, "observations of endpoints read from the store"));

    // With a tenth lost, when a suspicion is raised and heard of is chance: each is waited for.
    const auto alive = [&] { return fleet.word_of(3).find("router r2: alive") != std::string::npos; };
    fleet.stall(2, true);
    for (const Seconds until = s.now() + kAtLast; s.now() < until && alive();) co_await pause(0.2);
    const bool suspected = !alive();
    fleet.stall(2, false);
    for (const Seconds until = s.now() + kAtLast; s.now() < until && !all_say("7 of 7 others alive");)
      co_await pause(0.2);
    const bool refuted = all_say("7 of 7 others alive");
    s.start(count(0));
    co_await done.wait();
    say("a router that stood still is suspected, refutes it, and keeps to the drain",
        suspected && refuted && counted == 0);

    // Both sides of a cut, each told of another box; then one again.
    for (int a = 0; a < 4; ++a)
      for (int b = 4; b < kRouters; ++b) fleet.cut(a, b, 1e15);
    fleet.says(3, 1, AnnouncedState::draining);
    fleet.says(5, 2, AnnouncedState::draining);
    co_await pause(1);
    const auto line = [](int b) { return box(b) + ": draining according to the fleet"; };
    const bool apart = logged(2, line(1)) && logged(6, line(2)) && !logged(6, line(1)) && !logged(2, line(2));
    for (int a = 0; a < kRouters; ++a)
      for (int b = a + 1; b < kRouters; ++b) fleet.cut(a, b, 0);
    co_await pause(7);
    bool healed = true;
    for (int n = 0; n < kRouters; ++n)
      healed = healed && (n == 3 || logged(n, line(1))) && (n == 5 || logged(n, line(2)));
    say("two sides of a cut know their own, and both once it heals", apart && healed);

    fleet.says(3, 1, AnnouncedState::ready), fleet.says(5, 2, AnnouncedState::ready);
    fleet.says(4, 3, AnnouncedState::ready, s.now());
    co_await pause(2);
    bool anew = true;
    for (int n = 0; n < kRouters; ++n)
      anew = anew && (n == 4 || logged(n, box(3) + ": listed according to the fleet"));
    say("a restart told to one router reaches the others as a new start", anew);
    s.start(count(1));
    co_await done.wait();
    say("a box whose drain is taken back serves again", counted > 0);

    // The whole fleet at once; only stores and r0's bus know of the drain.
    for (int n = 0; n < kRouters; ++n) fleet.kill(n);
    for (int n = 0; n < kRouters; ++n) fleet.start(n);
    co_await pause(3);
    s.start(count(0));
    co_await done.wait();
    say("the whole fleet killed and started again heeds the drain from its stores",
        counted == 0 && all_say("7 of 7 others alive"));
    bool back = true;
    for (int n = 0; n < kRouters; ++n) back = back && logged(n, "from before this start: limits of");
    say("and each module has back what it had learnt", back);

    bool answered = true;
    for (int n = 0; n < kRouters; ++n) answered = answered && fleet.counts(n).answered > 50;
    figures("at the end");
    say("every router answered all along", answered);
    s.stop();
  }

  Task alone() {
    auto& s = fleet.scheduler();
    Event e(s);
    co_await e.wait(s.now() + 2);
    fleet.says(0, 0, AnnouncedState::draining);
    co_await e.wait(s.now() + kHeed);
    s.start(count(0));
    co_await done.wait();
    figures("counted");
    say("without sharing the others go on sending to the drained box", counted > 0);
    s.stop();
  }

  // Figures to standard error: what each box served, what each router answered.
  void figures(const char* when) {
    std::fprintf(stderr, "%s: boxes", when);
    for (int b = 0; b < kBoxes; ++b) std::fprintf(stderr, " %d", fleet.served(b));
    std::fprintf(stderr, "; answered");
    for (int n = 0; n < kRouters; ++n) std::fprintf(stderr, " %d", fleet.counts(n).answered);
    std::fprintf(stderr, "\n");
  }

  lab::Fleet fleet;
  Event done{fleet.scheduler()};
  int counted = 0;
};

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const unsigned seed = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 1;
  {
    Play play(true, seed);
    play.fleet.start_all();
    play.fleet.scheduler().start(play.shared());
    play.fleet.scheduler().run();
  }
  {
    Play play(false, seed);
    play.fleet.start_all();
    play.fleet.scheduler().start(play.alone());
    play.fleet.scheduler().run();
  }
  return all_good ? 0 : 1;
}
