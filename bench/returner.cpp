// Measures how many requests a router rejects in the first seconds after a crash, at a high rate, while the
// other routers keep running: with replication of the fleet's state and without. Not a test.
//   bench_returner [RATE [MS]]
//     RATE   requests per second at the restarted router, default 1200
//     MS     service time of hits and fills in milliseconds, default 100
// LAB_LOG, if set, prints the restarted router's log to standard error.
#include <fmt/core.h>
#include <signal.h>

#include <cstdlib>

#include "testbed/fleet.h"

using namespace walkpaddle;

namespace {

Task measure(testbed::Fleet& fleet, const char* what, double rate) {
  auto& s = fleet.scheduler();
  Event e(s);
  fleet.clients(1, rate);
  co_await e.wait(s.now() + 20);
  const auto start = fleet.counts(1);
  const Seconds used = fleet.cpu_of(1);
  co_await e.wait(s.now() + 10);
  fmt::print("{}: {:.0f} us of processor time per request in steady state\n", what,
             1e6 * (fleet.cpu_of(1) - used) / std::max(1, fleet.counts(1).answered - start.answered));
  for (const Seconds downtime : {1.0, 10.0}) {
    co_await e.wait(s.now() + 15);
    fleet.kill(1);
    co_await e.wait(s.now() + downtime);
    const auto before = fleet.counts(1);
    fleet.start(1);
    auto last = before;
    for (int second = 1; second <= 4; ++second) {
      co_await e.wait(s.now() + 1);
      const auto& now = fleet.counts(1);
      fmt::print(
          "{}, down for {:.0f} s, second {}: sent {}, answered {}, rejected {} ({:.1f}%), not sent {}\n",
          what, downtime, second, now.asked - last.asked, now.answered - last.answered,
          now.refused - last.refused,
          100.0 * (now.refused - last.refused) / std::max(1, now.asked - last.asked),
          now.unsent - last.unsent);
      last = now;
    }
  }
  if (std::getenv("LAB_LOG") != nullptr) fmt::print(stderr, "{}", fleet.log_of(1));
  std::fflush(stdout);
  s.stop();
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const double rate = argc > 1 ? std::atof(argv[1]) : 1200;
  const Seconds hit = (argc > 2 ? std::atof(argv[2]) : 100) / 1e3;
  for (const bool share : {false, true}) {
    testbed::Fleet fleet({.routers = 4,
                          .cache_servers = 6,
                          .objects = 2000,
                          .share = share,
                          .seed = 1,
                          .rate = 100,
                          .habits = {.hit = hit, .fill = hit}});
    fleet.start_all();
    fleet.scheduler().start(measure(fleet, share ? "with replication" : "without replication", rate));
    fleet.scheduler().run();
  }
}
