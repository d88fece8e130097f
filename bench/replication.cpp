// What replication of the fleet's state costs and how fast it is, with routers as processes on loopback
// (lab/fleet): how long a drain that one router's bus tells takes to reach every router, in calm, with
// datagrams lost, with one router cut off from most; what each router sends in calm; a returner's catch-up
// after 10 s; false suspicions. A measurement, not a test.
//   bench_replication [--servers N] [--away S] [--calm S] [--lossy S] [ROUTERS ...]     default 10 30
// --lossy: so long each with 0, 5 and 20% of the datagrams lost, counting suspicions and deaths of the living
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

struct Sizes {
  int routers = 10, servers = 40;
  Seconds away = 10, calm = 10, lossy = 0;
};

struct Play {
  explicit Play(const Sizes& s)
      : sizes(s),
        fleet({.routers = s.routers, .boxes = s.servers, .objects = 60, .seed = 1, .clients = false}) {}

  int times(int n, const std::string& line) const {  // in its log, over all its starts
    const auto log = fleet.log_of(n);
    int count = 0;
    for (auto at = log.find(line); at != std::string::npos; at = log.find(line, at + 1)) ++count;
    return count;
  }

  // From the word on one router's bus until each other router's module is told.
  Task spread(const char* what, int from, int box) {
    auto& s = fleet.scheduler();
    Event e(s);
    const auto line = fmt::format("s-{:08x}: draining according to the fleet", 0xb0 + box);
    const Seconds told = s.now();
    fleet.says(from, box, lab::Fleet::AnnouncedState::draining);
    std::vector<Seconds> took(static_cast<std::size_t>(sizes.routers), -1);
    took[static_cast<std::size_t>(from)] = 0;
    while (std::ranges::count(took, -1) > 0 && s.now() < told + 10) {
      co_await e.wait(s.now() + 0.002);
      for (int n = 0; n < sizes.routers; ++n)
        if (took[n] < 0 && times(n, line) > 0) took[n] = s.now() - told;
    }
    const auto never = std::ranges::count(took, -1);
    std::erase(took, -1);
    std::ranges::sort(took);
    const auto at = [&](double share) {
      return 1e3 * took[static_cast<std::size_t>(share * static_cast<double>(took.size() - 1))];
    };
    fmt::print("  drain, {}: median {:.0f} ms, 99th {:.0f}, worst {:.0f}{}\n", what, at(0.5), at(0.99), at(1),
               never > 0 ? fmt::format(", {} NEVER", never) : "");
    done.set();
  }

  // Raised by a tenth of the routers, times ten; r1, which is killed later, is left out.
  std::uint64_t suspicions() const {
    std::uint64_t raised = 0;
    const int step = std::max(1, sizes.routers / 10);
    for (int n = 0; n < sizes.routers; n += step) {
      const auto word = fleet.word_of(n);
      const auto mark = word.find(" suspicions raised");
      if (mark != std::string::npos && n != 1)
        raised += std::stoul(word.substr(word.rfind(' ', mark - 1) + 1));
    }
    return raised * static_cast<std::uint64_t>(step);
  }

  int deaths() const {
    int all = 0;
    for (int n = 0; n < sizes.routers; ++n) all += times(n, ": dead");
    return all;
  }

  Task play() {
    auto& s = fleet.scheduler();
    Event e(s);
    const auto pause = [&](Seconds t) { return e.wait(s.now() + t); };
    const Seconds from = s.now();
    // All see all: the last line of each router's log of members.
    const auto together = [&] {
      for (int n = 0; n < sizes.routers; n += std::max(1, sizes.routers / 10))
        if (fleet.word_of(n).find(fmt::format("{} of {} others alive", sizes.routers - 1,
                                              sizes.routers - 1)) == std::string::npos)
          return false;
      return true;
    };
    bool all = false;
    while (!(all = together()) && s.now() < from + 60) co_await pause(0.5);
    fmt::print("{} routers, {} servers: {} after {:.1f} s\n", sizes.routers, sizes.servers,
               all ? "all see all" : "NOT ALL SEE ALL", s.now() - from);
    co_await pause(10);
    const auto at_start = suspicions();
    co_await pause(1);
    const auto before = fleet.between_routers();
    std::vector<Seconds> cpu;
    for (int n = 0; n < sizes.routers; ++n) cpu.push_back(fleet.cpu_of(n));
    const Seconds calm = s.now();
    co_await pause(sizes.calm);
    const Seconds over = s.now() - calm;
    Seconds used = 0;
    for (int n = 0; n < sizes.routers; ++n) used += fleet.cpu_of(n) - cpu[static_cast<std::size_t>(n)];
    fmt::print("  calm: {:.0f} bytes a second sent by a router, {:.2f}% of a core\n",
               static_cast<double>(fleet.between_routers() - before) / over / sizes.routers,
               100 * used / over / sizes.routers);

    fmt::print("  suspicions raised by all: {} while they started, {} in calm\n", at_start,
               suspicions() - at_start);

    for (const double lost : {0.0, 0.05, 0.2}) {
      if (sizes.lossy <= 0) break;
      fleet.links().faults({.lost = lost});
      const auto raised = suspicions();
      const int died = deaths();
      co_await pause(sizes.lossy);
      fmt::print("  {:.0f}% lost for {:.0f} s: {} suspicions raised by all, {} taken for dead\n", 100 * lost,
                 sizes.lossy, suspicions() - raised, deaths() - died);
      fleet.links().faults({});
    }
    int box = 0;
    s.start(spread("calm", 0, box++));
    co_await done.wait();
    fleet.links().faults({.lost = 0.05});
    co_await pause(2);
    s.start(spread("5% lost", 0, box++));
    co_await done.wait();
    for (int n = 1; n < sizes.routers; ++n)  // all but one in ten of its links cut
      if (n % 10 != 1) fleet.cut(0, n, 1e15);
    s.start(spread("5% lost, nine tenths of the teller's links cut", 0, box++));
    co_await done.wait();
    for (int n = 1; n < sizes.routers; ++n) fleet.cut(0, n, 0);
    co_await pause(5);
    fleet.links().faults({});

    // A returner: away, meanwhile a third of the servers drain; then until it has caught up.
    const auto of_none = suspicions();
    fleet.kill(1);
    for (int b = box; b < sizes.servers / 3; ++b)
      fleet.says(2 + b % (sizes.routers - 2), b, lab::Fleet::AnnouncedState::draining);
    co_await pause(sizes.away);
    const int caught = times(1, "caught up");
    const auto bytes = fleet.between_routers();
    const Seconds started = s.now();
    fleet.start(1);
    while (times(1, "caught up") == caught && s.now() < started + 20) co_await e.wait(s.now() + 0.002);
    const Seconds took = s.now() - started;
    const auto passed = static_cast<double>(fleet.between_routers() - bytes);
    const auto log = fleet.log_of(1);
    const auto at = std::min(log.size(), log.rfind("caught up"));
    fmt::print(
        "  a returner after {:.0f} s: {:.0f} ms from its start to caught up ({}), {:.0f} kB between all "
        "meanwhile\n",
        sizes.away, 1e3 * took, log.substr(at, log.find('\n', at) - at), passed / 1e3);
    fmt::print("  suspicions raised by all: {} of nobody dead, {} with one router dead\n", of_none,
               suspicions() - of_none);
    std::fflush(stdout);
    s.stop();
  }

  const Sizes sizes;
  lab::Fleet fleet;
  Event done{fleet.scheduler()};
};

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  Sizes sizes;
  std::vector<int> routers;
  for (int a = 1; a < argc; ++a) {
    const std::string word = argv[a];
    const bool more = a + 1 < argc;
    if (word == "--servers" && more)
      sizes.servers = std::atoi(argv[++a]);
    else if (word == "--away" && more)
      sizes.away = std::atof(argv[++a]);
    else if (word == "--calm" && more)
      sizes.calm = std::atof(argv[++a]);
    else if (word == "--lossy" && more)
      sizes.lossy = std::atof(argv[++a]);
    else
      routers.push_back(std::atoi(word.c_str()));
  }
  if (routers.empty()) routers = {10, 30};
  for (const int n : routers) {
    sizes.routers = n;
    Play play(sizes);
    play.fleet.start_all();
    play.fleet.scheduler().start(play.play());
    play.fleet.scheduler().run();
  }
}
