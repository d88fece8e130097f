// How long a drain that one router's bus tells takes to reach every router, what the links between routers
// carry, and a returner's catch-up, with routers as processes on loopback (lab/fleet). A measurement, not a
// test.
//   bench_replication [ROUTERS ...]     default 10 30; WALKPADDLE names the program
#include <fmt/core.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "lab/fleet.h"

using namespace walkpaddle;

namespace {

constexpr int kBoxes = 40;  // each router observes each: facts are boxes times routers
constexpr const char* kSeen = "s-000000b0: draining as the fleet has it";

struct Play {
  explicit Play(int routers)
      : routers(routers),
        fleet({.routers = routers,
               .boxes = kBoxes,
               .objects = 60,
               .share = true,
               .seed = 1,
               .clients = false}) {}

  int seen(int n) const {  // times, over all its starts
    const auto log = fleet.log_of(n);
    int times = 0;
    for (auto at = log.find(kSeen); at != std::string::npos; at = log.find(kSeen, at + 1)) ++times;
    return times;
  }

  Task play() {
    auto& s = fleet.scheduler();
    Event e(s);
    co_await e.wait(s.now() + 4);  // all links up, the first facts sent
    const auto calm_bytes = fleet.between_routers();
    const Sec calm_from = s.now();
    co_await e.wait(s.now() + 5);
    const double calm = static_cast<double>(fleet.between_routers() - calm_bytes) / (s.now() - calm_from);

    const Sec told = s.now();
    fleet.drains(0, 0);
    std::vector<Sec> took(static_cast<std::size_t>(routers), -1);
    took[0] = 0;
    while (std::ranges::count(took, -1) > 0 && s.now() < told + 10) {
      co_await e.wait(s.now() + 0.001);
      for (int n = 1; n < routers; ++n)
        if (took[n] < 0 && seen(n) > 0) took[n] = s.now() - told;
    }
    if (std::getenv("LAB_LOG") != nullptr)
      for (int n = 1; n < routers; ++n)
        if (took[n] < 0) fmt::print(stderr, "r{} never:\n{}", n, fleet.log_of(n));
    std::vector<Sec> known(took.begin() + 1, took.end());
    std::ranges::sort(known);
    const auto at = [&](double share) {
      return 1e3 * known[static_cast<std::size_t>(share * (known.size() - 1))];
    };

    // A returner: killed, started again; until its log says what the fleet knows.
    fleet.kill(1);
    co_await e.wait(s.now() + 1);
    const auto before = fleet.between_routers();
    const int times = seen(1);
    const Sec started = s.now();
    fleet.start(1);
    while (seen(1) == times && s.now() < started + 20) co_await e.wait(s.now() + 0.001);
    const Sec caught = s.now() - started;
    co_await e.wait(s.now() + 1);
    fmt::print(
        "{} routers, {} boxes: drain known at all others median {:.1f} ms, 99th {:.1f}, worst {:.1f}{}; calm "
        "{:.0f} bytes "
        "a second a router between routers; a returner knows it {:.0f} ms after its start, {:.0f} kB "
        "passed\n",
        routers, kBoxes, at(0.5), at(0.99), at(1), std::ranges::count(known, -1) > 0 ? " (some never)" : "",
        calm / routers, 1e3 * caught, static_cast<double>(fleet.between_routers() - before) / 1e3);
    s.stop();
  }

  const int routers;
  lab::Fleet fleet;
};

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  std::vector<int> sizes;
  for (int a = 1; a < argc; ++a) sizes.push_back(std::atoi(argv[a]));
  if (sizes.empty()) sizes = {10, 30};
  for (const int n : sizes) {
    Play play(n);
    play.fleet.start_all();
    play.fleet.scheduler().start(play.play());
    play.fleet.scheduler().run();
  }
}
