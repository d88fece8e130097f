// Routers as processes with faults between them: a drain that one router's bus tells is heeded by all, over a
// cut link, after a crash and a start again, after a stall; a restart told to one is a new start at all. Then
// the same without sharing, where the others go on: the test can tell the one from the other. One line each.
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
constexpr Sec kHeed = 2.5, kCount = 2;

struct Play {
  explicit Play(bool share, unsigned seed)
      : fleet({.routers = 3, .boxes = 4, .objects = 60, .share = share, .seed = seed}) {}

  Task shared() {
    auto& s = fleet.scheduler();
    Event e(s);
    const auto pause = [&](Sec t) { return e.wait(s.now() + t); };
    co_await pause(2);
    fleet.cut(0, 2, s.now() + 1e6);  // r2 hears r0 only through r1
    fleet.drains(0, 0);
    co_await pause(kHeed);
    figures("drained");
    int mark = fleet.served(0);
    co_await pause(kCount);
    figures("counted");
    say("a drain told to one router is heeded by all, one link cut", fleet.served(0) == mark);

    fleet.kill(1);
    co_await pause(1);
    fleet.start(1);
    co_await pause(kHeed);
    mark = fleet.served(0);
    co_await pause(kCount);
    say("a router killed and started again learns the drain from its peers", fleet.served(0) == mark);

    fleet.stall(2, true);
    co_await pause(1.5);
    fleet.stall(2, false);
    co_await pause(0.5);
    mark = fleet.served(0);
    co_await pause(kCount);
    say("a router stalled and woken keeps to it", fleet.served(0) == mark);

    fleet.restarted(0, 1, s.now());
    co_await pause(kHeed);
    const auto told = [&](int n) {
      return fleet.log_of(n).find("s-000000b1: listed as the fleet has it") != std::string::npos;
    };
    say("a restart told to one router reaches the others as a new start", told(1) && told(2));

    bool answered = true;
    for (int n = 0; n < 3; ++n) answered = answered && fleet.counts(n).answered > 50;
    figures("at the end");
    say("every router answered all along", answered);
    s.stop();
  }

  Task alone() {
    auto& s = fleet.scheduler();
    Event e(s);
    co_await e.wait(s.now() + 2);
    fleet.drains(0, 0);
    co_await e.wait(s.now() + kHeed);
    figures("drained");
    const int mark = fleet.served(0);
    co_await e.wait(s.now() + kCount);
    figures("counted");
    say("without sharing the others go on sending to the drained box", fleet.served(0) > mark);
    s.stop();
  }

  // Figures to standard error: what each box served, what each router answered.
  void figures(const char* when) {
    std::fprintf(stderr, "%s: boxes", when);
    for (int b = 0; b < 4; ++b) std::fprintf(stderr, " %d", fleet.served(b));
    std::fprintf(stderr, "; answered");
    for (int n = 0; n < 3; ++n) std::fprintf(stderr, " %d", fleet.counts(n).answered);
    std::fprintf(stderr, "\n");
  }

  lab::Fleet fleet;
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
