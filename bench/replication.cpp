// Measures cost and speed of replicating the fleet's state, with router processes on loopback. Prints:
//   - the time until a drain that one router's discovery reports has reached every router: without faults,
//     with datagrams lost, and with most of that router's links cut;
//   - the bytes that each router sends, and its processor time, without faults;
//   - the time that a restarted router takes to catch up;
//   - the number of false suspicions.
// Not a test.
//   bench_replication [--servers N] [--away S] [--calm S] [--lossy S] [ROUTERS ...]
//     --servers   number of cache servers, default 40
//     --away      downtime of the restarted router, default 10 s
//     --calm      duration of the measurement without faults, default 10 s
//     --lossy     counts suspicions and routers taken for dead with 0, 5 and 20% of the datagrams lost;
//                 duration of each in seconds, default 0: not at all
//     ROUTERS     sizes of the fleets, default 10 30
#include <fmt/core.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "testbed/fleet.h"

using namespace walkpaddle;

namespace {

struct Sizes {
  int routers = 10, servers = 40;
  Seconds away = 10, calm = 10, lossy = 0;
};

struct Measurement {
  explicit Measurement(const Sizes& s)
      : sizes(s),
        fleet(
            {.routers = s.routers, .cache_servers = s.servers, .objects = 60, .seed = 1, .clients = false}) {}

  // Number of occurrences in a router's log, over all its starts.
  int count_in_log(int n, const std::string& line) const {
    const auto log = fleet.log_of(n);
    int count = 0;
    for (auto at = log.find(line); at != std::string::npos; at = log.find(line, at + 1)) ++count;
    return count;
  }

  // Measures the time from a drain in one router's discovery until every other router has logged it.
  Task measure_spread(const char* what, int from, int server) {
    auto& s = fleet.scheduler();
    Event e(s);
    const auto line = fmt::format("s-{:08x}: draining according to the fleet", 0xb0 + server);
    const Seconds published_at = s.now();
    fleet.publish_state(from, server, testbed::Fleet::AnnouncedState::draining);
    std::vector<Seconds> took(static_cast<std::size_t>(sizes.routers), -1);
    took[static_cast<std::size_t>(from)] = 0;
    while (std::ranges::count(took, -1) > 0 && s.now() < published_at + 10) {
      co_await e.wait(s.now() + 0.002);
      for (int n = 0; n < sizes.routers; ++n)
        if (took[n] < 0 && count_in_log(n, line) > 0) took[n] = s.now() - published_at;
    }
    const auto never = std::ranges::count(took, -1);
    std::erase(took, -1);
    std::ranges::sort(took);
    const auto percentile = [&](double share) {
      return 1e3 * took[static_cast<std::size_t>(share * static_cast<double>(took.size() - 1))];
    };
    fmt::print("  drain, {}: median {:.0f} ms, 99th percentile {:.0f} ms, maximum {:.0f} ms{}\n", what,
               percentile(0.5), percentile(0.99), percentile(1),
               never > 0 ? fmt::format(", NOT REACHED: {} routers", never) : "");
    done.set();
  }

  // Estimates the suspicions raised by all routers from a sample of about ten. r1, which is killed later, is
  // left out.
  std::uint64_t suspicions() const {
    std::uint64_t raised = 0;
    const int step = std::max(1, sizes.routers / 10);
    for (int n = 0; n < sizes.routers; n += step) {
      const auto status = fleet.fleet_status(n);
      const auto mark = status.find(" suspicions raised");
      if (mark != std::string::npos && n != 1)
        raised += std::stoul(status.substr(status.rfind(' ', mark - 1) + 1));
    }
    return raised * static_cast<std::uint64_t>(step);
  }

  int deaths() const {
    int all = 0;
    for (int n = 0; n < sizes.routers; ++n) all += count_in_log(n, ": dead");
    return all;
  }

  Task measure() {
    auto& s = fleet.scheduler();
    Event e(s);
    const auto pause = [&](Seconds t) { return e.wait(s.now() + t); };
    const Seconds from = s.now();
    // Whether a sample of about ten routers sees all others alive, according to `walkpaddle fleet`.
    const auto all_alive = [&] {
      for (int n = 0; n < sizes.routers; n += std::max(1, sizes.routers / 10))
        if (fleet.fleet_status(n).find(fmt::format("{} of {} others alive", sizes.routers - 1,
                                                   sizes.routers - 1)) == std::string::npos)
          return false;
      return true;
    };
    bool all = false;
    while (!(all = all_alive()) && s.now() < from + 60) co_await pause(0.5);
    fmt::print("{} routers, {} servers: {} after {:.1f} s\n", sizes.routers, sizes.servers,
               all ? "all routers see each other alive" : "NOT ALL ROUTERS SEE EACH OTHER ALIVE",
               s.now() - from);
    co_await pause(10);
    const auto at_start = suspicions();
    co_await pause(1);
    const auto before = fleet.bytes_between_routers();
    std::vector<Seconds> cpu;
    for (int n = 0; n < sizes.routers; ++n) cpu.push_back(fleet.cpu_of(n));
    const Seconds calm_since = s.now();
    co_await pause(sizes.calm);
    const Seconds duration = s.now() - calm_since;
    Seconds used = 0;
    for (int n = 0; n < sizes.routers; ++n) used += fleet.cpu_of(n) - cpu[static_cast<std::size_t>(n)];
    fmt::print("  without faults: each router sends {:.0f} bytes/s and uses {:.2f}% of a core\n",
               static_cast<double>(fleet.bytes_between_routers() - before) / duration / sizes.routers,
               100 * used / duration / sizes.routers);

    fmt::print("  suspicions raised by all routers: {} during the start, {} after it\n", at_start,
               suspicions() - at_start);

    for (const double lost : {0.0, 0.05, 0.2}) {
      if (sizes.lossy <= 0) break;
      fleet.links().faults({.lost = lost});
      const auto raised = suspicions();
      const int died = deaths();
      co_await pause(sizes.lossy);
      fmt::print(
          "  {:.0f}% of datagrams lost for {:.0f} s: {} suspicions raised by all routers, {} taken for "
          "dead\n",
          100 * lost, sizes.lossy, suspicions() - raised, deaths() - died);
      fleet.links().faults({});
    }
    int server = 0;
    s.start(measure_spread("without faults", 0, server++));
    co_await done.wait();
    fleet.links().faults({.lost = 0.05});
    co_await pause(2);
    s.start(measure_spread("5% of datagrams lost", 0, server++));
    co_await done.wait();
    for (int n = 1; n < sizes.routers; ++n)  // cuts all but one in ten of r0's links
      if (n % 10 != 1) fleet.cut(0, n, 1e15);
    s.start(measure_spread("5% of datagrams lost, nine in ten of the source's links cut", 0, server++));
    co_await done.wait();
    for (int n = 1; n < sizes.routers; ++n) fleet.cut(0, n, 0);
    co_await pause(5);
    fleet.links().faults({});

    // r1 is down while a third of the servers start to drain; measured from its start until it has caught up.
    const auto before_kill = suspicions();
    fleet.kill(1);
    for (int b = server; b < sizes.servers / 3; ++b)
      fleet.publish_state(2 + b % (sizes.routers - 2), b, testbed::Fleet::AnnouncedState::draining);
    co_await pause(sizes.away);
    const int catch_ups = count_in_log(1, "caught up");
    const auto bytes = fleet.bytes_between_routers();
    const Seconds started = s.now();
    fleet.start(1);
    while (count_in_log(1, "caught up") == catch_ups && s.now() < started + 20)
      co_await e.wait(s.now() + 0.002);
    const Seconds took = s.now() - started;
    const auto passed = static_cast<double>(fleet.bytes_between_routers() - bytes);
    const auto log = fleet.log_of(1);
    const auto at = std::min(log.size(), log.rfind("caught up"));
    fmt::print(
        "  restart after {:.0f} s: {:.0f} ms from the start until the router has caught up ({}), {:.0f} kB "
        "between "
        "all routers meanwhile\n",
        sizes.away, 1e3 * took, log.substr(at, log.find('\n', at) - at), passed / 1e3);
    fmt::print("  suspicions raised by all routers: {} before a router was killed, {} after\n", before_kill,
               suspicions() - before_kill);
    std::fflush(stdout);
    s.stop();
  }

  const Sizes sizes;
  testbed::Fleet fleet;
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
    const std::string argument = argv[a];
    const bool more = a + 1 < argc;
    if (argument == "--servers" && more)
      sizes.servers = std::atoi(argv[++a]);
    else if (argument == "--away" && more)
      sizes.away = std::atof(argv[++a]);
    else if (argument == "--calm" && more)
      sizes.calm = std::atof(argv[++a]);
    else if (argument == "--lossy" && more)
      sizes.lossy = std::atof(argv[++a]);
    else
      routers.push_back(std::atoi(argument.c_str()));
  }
  if (routers.empty()) routers = {10, 30};
  for (const int n : routers) {
    sizes.routers = n;
    Measurement measurement(sizes);
    measurement.fleet.start_all();
    measurement.fleet.scheduler().start(measurement.measure());
    measurement.fleet.scheduler().run();
  }
}
