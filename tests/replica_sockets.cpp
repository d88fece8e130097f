// Replication of observations between eight routers as processes. Between them datagrams are lost, duplicated
// and reordered. The discovery of one router reports that a cache server drains, and all routers must send it
// nothing more: also with most links cut, after a crash, a stall, a partition and a restart of the whole
// fleet. A restart of a cache server that one router is told of must count as one at all routers. In a second
// run without replication the other routers keep using the draining server, which shows that the first run
// depends on replication. Prints a line for each check.
//   replica_sockets [SEED]
#include <signal.h>

#include <cstdio>
#include <cstdlib>

#include "testbed/fleet.h"

using namespace walkpaddle;

namespace {

bool all_passed = true;

void report(const char* what, bool good) {
  std::printf("%s: %s\n", what, good ? "holds" : "BROKEN");
  std::fflush(stdout);
  all_passed = all_passed && good;
}

// A router may take 2 s to apply what it was told. Each check waits longer, and then counts served requests.
constexpr Seconds kConvergence = 2.5, kCountTime = 2, kMaxWait = 15;
constexpr int kRouters = 8, kCacheServers = 4;
using AnnouncedState = testbed::Fleet::AnnouncedState;

struct Scenario {
  Scenario(bool share, unsigned seed)
      : fleet({.routers = kRouters,
               .cache_servers = kCacheServers,
               .objects = 60,
               .share = share,
               .seed = seed,
               .store = share}) {}

  static std::string server_id(int n) { return "s-000000b" + std::to_string(n); }
  bool logged(int n, const std::string& line) const {
    return fleet.log_of(n).find(line) != std::string::npos;
  }
  // Whether the output of `walkpaddle fleet` at every running router contains `words`.
  bool all_report(const std::string& words) const {
    for (int n = 0; n < kRouters; ++n)
      if (fleet.running(n) && fleet.fleet_status(n).find(words) == std::string::npos) return false;
    return true;
  }
  // Counts the requests that a cache server serves during kCountTime.
  Task count_served(int b) {
    Event e(fleet.scheduler());
    const int served_before = fleet.served(b);
    co_await e.wait(fleet.scheduler().now() + kCountTime);
    served = fleet.served(b) - served_before;
    done.set();
  }

  Task sharing_run() {
    auto& s = fleet.scheduler();
    Event e(s);
    const auto pause = [&](Seconds t) { return e.wait(s.now() + t); };
    co_await pause(3);
    report("eight routers see each other alive", all_report("7 of 7 others alive"));

    // A tenth of the datagrams is lost, a tenth is duplicated, and random delays reorder them. r0 is cut off
    // from all routers except r1.
    fleet.links().faults({.lost = 0.1, .twice = 0.1, .delay = 0.03});
    for (int n = 2; n < kRouters; ++n) fleet.cut(0, n, 1e15);
    fleet.publish_state(0, 0, AnnouncedState::draining);
    co_await pause(kConvergence);
    s.start(count_served(0));
    co_await done.wait();
    report("a drain reported to one router, with a link to one other router, is applied by all", served == 0);

    fleet.kill(1);
    co_await pause(1);
    fleet.start(1);
    co_await pause(kConvergence);
    s.start(count_served(0));
    co_await done.wait();
    report("a router that is killed and started again applies the drain",
           served == 0 && logged(1, "observations of endpoints read from the store"));

    // As datagrams are lost, the time at which a suspicion is raised and spreads is random; the test waits
    // for it.
    const auto alive = [&] { return fleet.fleet_status(3).find("router r2: alive") != std::string::npos; };
    fleet.stall(2, true);
    for (const Seconds until = s.now() + kMaxWait; s.now() < until && alive();) co_await pause(0.2);
    const bool suspected = !alive();
    fleet.stall(2, false);
    for (const Seconds until = s.now() + kMaxWait; s.now() < until && !all_report("7 of 7 others alive");)
      co_await pause(0.2);
    const bool refuted = all_report("7 of 7 others alive");
    s.start(count_served(0));
    co_await done.wait();
    report("a router that was stalled is suspected, refutes the suspicion, and applies the drain",
           suspected && refuted && served == 0);

    // A partition: each side is told of the drain of another cache server. Then it heals.
    for (int a = 0; a < 4; ++a)
      for (int b = 4; b < kRouters; ++b) fleet.cut(a, b, 1e15);
    fleet.publish_state(3, 1, AnnouncedState::draining);
    fleet.publish_state(5, 2, AnnouncedState::draining);
    co_await pause(1);
    const auto line = [](int b) { return server_id(b) + ": draining according to the fleet"; };
    const bool separate =
        logged(2, line(1)) && logged(6, line(2)) && !logged(6, line(1)) && !logged(2, line(2));
    for (int a = 0; a < kRouters; ++a)
      for (int b = a + 1; b < kRouters; ++b) fleet.cut(a, b, 0);
    co_await pause(7);
    bool merged = true;
    for (int n = 0; n < kRouters; ++n)
      merged = merged && (n == 3 || logged(n, line(1))) && (n == 5 || logged(n, line(2)));
    report("two sides of a partition apply their own drains, and both drains once it heals",
           separate && merged);

    fleet.publish_state(3, 1, AnnouncedState::ready), fleet.publish_state(5, 2, AnnouncedState::ready);
    fleet.publish_state(4, 3, AnnouncedState::ready, s.now());
    co_await pause(2);
    bool restarted = true;
    for (int n = 0; n < kRouters; ++n)
      restarted = restarted && (n == 4 || logged(n, server_id(3) + ": listed according to the fleet"));
    report("a restart reported to one router counts as a restart at the others", restarted);
    s.start(count_served(1));
    co_await done.wait();
    report("a cache server whose drain is withdrawn serves again", served > 0);

    // The whole fleet restarts at once. Only the stores and r0's discovery know of the drain.
    for (int n = 0; n < kRouters; ++n) fleet.kill(n);
    for (int n = 0; n < kRouters; ++n) fleet.start(n);
    co_await pause(3);
    s.start(count_served(0));
    co_await done.wait();
    report("the whole fleet is killed and started again, and applies the drain from its stores",
           served == 0 && all_report("7 of 7 others alive"));
    bool restored = true;
    for (int n = 0; n < kRouters; ++n) restored = restored && logged(n, "from before this start: limits of");
    report("each router restores its snapshot", restored);

    bool answered = true;
    for (int n = 0; n < kRouters; ++n) answered = answered && fleet.counts(n).answered > 50;
    print_counts("at the end");
    report("every router answers requests during the whole run", answered);
    s.stop();
  }

  Task isolated_run() {
    auto& s = fleet.scheduler();
    Event e(s);
    co_await e.wait(s.now() + 2);
    fleet.publish_state(0, 0, AnnouncedState::draining);
    co_await e.wait(s.now() + kConvergence);
    s.start(count_served(0));
    co_await done.wait();
    print_counts("counted");
    report("without replication the other routers keep sending to the draining cache server", served > 0);
    s.stop();
  }

  // Prints to standard error how many requests each cache server served and each router answered.
  void print_counts(const char* when) {
    std::fprintf(stderr, "%s: cache servers", when);
    for (int b = 0; b < kCacheServers; ++b) std::fprintf(stderr, " %d", fleet.served(b));
    std::fprintf(stderr, "; answered");
    for (int n = 0; n < kRouters; ++n) std::fprintf(stderr, " %d", fleet.counts(n).answered);
    std::fprintf(stderr, "\n");
  }

  testbed::Fleet fleet;
  Event done{fleet.scheduler()};
  int served = 0;
};

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const unsigned seed = argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 1;
  {
    Scenario scenario(true, seed);
    scenario.fleet.start_all();
    scenario.fleet.scheduler().start(scenario.sharing_run());
    scenario.fleet.scheduler().run();
  }
  {
    Scenario scenario(false, seed);
    scenario.fleet.start_all();
    scenario.fleet.scheduler().start(scenario.isolated_run());
    scenario.fleet.scheduler().run();
  }
  return all_passed ? 0 : 1;
}
