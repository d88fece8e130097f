// Measurements of rollouts for docs/changes.md; not a test.
//   bench_changes same [FROM SEEDS]
//     Simulated rollouts of a generation that differs in nothing: how many are stopped.
//   bench_changes faults [ROUTERS SEEDS]
//     Simulated rollouts of faulty generations: the stage at which they are stopped and the share of requests
//     harmed, compared with an unsupervised change.
//   bench_changes processes N [SEED]
//     N router processes: bytes and processor time with and without a rollout, the time until another driver
//     takes over after a crash, and the time until a stop has reached all routers.
#include <fmt/core.h>
#include <signal.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string>
#include <vector>

#include "testbed/fleet.h"
#include "testbed/rollout_fleet.h"

using namespace walkpaddle;
using testbed::RolloutFleet;
using Quality = RolloutFleet::Quality;

namespace {

void run_for(RolloutFleet& fleet, Seconds seconds) {
  fleet.until(seconds, [] { return false; });
}

void measure_false_stops(unsigned from, unsigned seeds) {
  int stopped = 0;
  for (unsigned seed = from; seed < from + seeds; ++seed) {
    RolloutFleet fleet({.routers = 12,
                        .seed = 50000 + seed,
                        .sites = 1 + static_cast<int>(seed % 2),
                        .quality = [seed](const std::string&, int n,
                                          Seconds now) { return RolloutFleet::uneven(seed, n, now); },
                        .time_step = 0.1});
    run_for(fleet, 15);
    fleet[3].propose(RolloutFleet::make_plan(), fleet.now(3));
    fleet.until(900, [&] { return fleet.done("c1") || fleet.stopped("c1"); });
    if (!fleet.stopped("c1")) continue;
    ++stopped;
    fmt::print("  seed {}: {}\n", seed, fleet.rollout_status(0, "c1").why);
  }
  fmt::print("{} of {} rollouts that change nothing were stopped\n", stopped, seeds);
}

void measure_faults(int routers, unsigned seeds) {
  struct Fault {
    const char* name;
    void (*spoil)(Quality&);
  };
  const Fault all[] = {{"half of the requests rejected", [](Quality& q) { q.refused = 0.5; }},
                       {"20% of requests rejected", [](Quality& q) { q.refused = 0.2; }},
                       {"2.2% of requests rejected", [](Quality& q) { q.refused = 0.022; }},
                       {"10% of requests late", [](Quality& q) { q.late = 0.1; }},
                       {"twice as slow", [](Quality& q) { q.time = 0.1; }},
                       {"more memory", [](Quality& q) { q.memory = 90; }},
                       {"crash after 5 s", [](Quality& q) { q.dies_after = 5; }},
                       {"never ready", [](Quality& q) { q.ready = false; }}};
  for (const auto& f : all) {
    std::vector<double> harmed, took;
    std::vector<unsigned> stages;
    for (unsigned seed = 0; seed < seeds; ++seed) {
      RolloutFleet fleet({.routers = routers,
                          .seed = 70000 + seed,
                          .quality =
                              [&](const std::string& generation, int, Seconds) {
                                Quality q;
                                if (generation != "g1") f.spoil(q);
                                return q;
                              },
                          .time_step = 0.1});
      run_for(fleet, 15);
      const Seconds from = fleet.now();
      fleet[3].propose(RolloutFleet::make_plan(), fleet.now(3));
      fleet.until(
          900, [&] { return fleet.done("c1") || (fleet.stopped("c1") && fleet.all_run("g1")); }, 0.5);
      harmed.push_back(fleet.harmed_share()), took.push_back(fleet.now() - from);
      stages.push_back(fleet.stopped("c1") ? fleet.stage("c1") : 99);
    }
    // Unsupervised change for comparison: a tenth of the routers every 1.6 s; a person notices the fault a
    // minute after the last tenth, and rolls back at the same rate.
    Quality faulty;
    f.spoil(faulty);
    const double harm_per_router =
        faulty.ready && faulty.dies_after == 0 ? faulty.refused + faulty.failed + faulty.late : 1;
    const double unsupervised = harm_per_router * (16.0 / 2 + 60 + 16.0 / 2) / (16 + 60 + 16);
    const auto median = [](auto v) { return std::ranges::sort(v), v[v.size() / 2]; };
    fmt::print(
        "{}: stopped at stage {} (latest {}), harmed {:.4f}% of the requests (maximum {:.4f}%), rolled back "
        "in "
        "{:.0f} s; unsupervised {:.1f}%\n",
        f.name, median(stages), std::ranges::max(stages), median(harmed) * 100,
        std::ranges::max(harmed) * 100, median(took), unsupervised * 100);
  }
}

struct Measurement {
  Measurement(int routers, unsigned seed)
      : count(routers),
        fleet({.routers = routers, .cache_servers = 20, .seed = seed, .clients = false, .changes = true}) {}
  // Time of day of the first line with this text in each router's log; 0: there is none.
  std::vector<Seconds> first_logged(const std::string& text) const {
    std::vector<Seconds> times;
    for (int n = 0; n < count; ++n) {
      const auto log = fleet.log_of(n);
      const auto at = log.find(text);
      if (at == std::string::npos) {
        times.push_back(0);
        continue;
      }
      // Lines begin with "7.291 2026-12-02T00:25:50.572Z".
      const auto line = log.rfind('\n', at) == std::string::npos ? 0 : log.rfind('\n', at) + 1;
      const auto t = log.find('T', line);
      times.push_back(std::stod(log.substr(t + 1, 2)) * 3600 + std::stod(log.substr(t + 4, 2)) * 60 +
                      std::stod(log.substr(t + 7, 6)));
    }
    return times;
  }
  static Seconds time_of_day(Seconds now) { return std::fmod(now, 86400); }
  Task measure() {
    auto& s = fleet.scheduler();
    Event e(s);
    const auto cpu = [&] {
      Seconds all = 0;
      for (int n = 0; n < count; ++n) all += fleet.cpu_of(n);
      return all;
    };
    co_await e.wait(s.now() + 15);
    constexpr Seconds kCalm = 20;
    auto bytes = fleet.bytes_between_routers();
    auto used = cpu();
    co_await e.wait(s.now() + kCalm);
    fmt::print("{} routers without a rollout: each sends {:.0f} bytes/s and uses {:.3f}% of a core\n", count,
               static_cast<double>(fleet.bytes_between_routers() - bytes) / kCalm / count,
               (cpu() - used) / kCalm / count * 100);
    fleet.write_document(
        1, "c1",
        "change \"c1\" {\n before = g1\n after = g2\n by = ana\n settings = {\"allowed.max_attempts=3\"}\n"
        " txns = 1\n least = 2\n longest = 600\n}\n");
    co_await e.wait(s.now() + 20);  // to the canary stage, which waits for requests that do not come
    bytes = fleet.bytes_between_routers(), used = cpu();
    co_await e.wait(s.now() + kCalm);
    fmt::print("during a rollout: each sends {:.0f} bytes/s and uses {:.3f}% of a core\n",
               static_cast<double>(fleet.bytes_between_routers() - bytes) / kCalm / count,
               (cpu() - used) / kCalm / count * 100);
    fleet.links().faults({.lost = 0.05, .twice = 0.02, .delay = 0.01});
    const auto drove_at = first_logged("this router is the driver");
    int driver = 0;
    for (int n = 0; n < count; ++n)
      if (drove_at[static_cast<std::size_t>(n)] > drove_at[static_cast<std::size_t>(driver)]) driver = n;
    const Seconds killed_at = time_of_day(s.now());
    fleet.kill(driver);
    co_await e.wait(s.now() + 25);
    Seconds next_driver_at = 0;
    for (int n = 0; n < count; ++n)
      if (const auto t = first_logged("this router is the driver")[static_cast<std::size_t>(n)];
          n != driver && t > killed_at)
        next_driver_at = t;
    fmt::print("driver killed: another router is the driver after {:.1f} s\n", next_driver_at - killed_at);
    const Seconds stopped_at = time_of_day(s.now());
    fleet.write_document(2, "stop", "stop \"c1\" { why = measured }\n");
    co_await e.wait(s.now() + 6);
    std::vector<Seconds> stop_delays, rollback_delays;
    // Times count from the first router's log line, so that the time until it reads the document is left out.
    Seconds first = 1e9;
    for (const Seconds t : first_logged("STOPPED"))
      if (t > 0) first = std::min(first, t);
    fmt::print("the first router has read the stop after {:.0f} ms; ", (first - stopped_at) * 1e3);
    for (const Seconds t : first_logged("STOPPED"))
      if (t > 0) stop_delays.push_back((t - first) * 1e3);
    for (const Seconds t : first_logged("change c1: this router runs g1"))
      if (t > 0) rollback_delays.push_back((t - first) * 1e3);
    std::ranges::sort(stop_delays), std::ranges::sort(rollback_delays);
    fmt::print(
        "with 5% of datagrams lost, {} of {} routers know of the stop, median {:.0f} ms, last {:.0f} ms; {} "
        "have "
        "rolled back, the last after {:.0f} ms\n",
        stop_delays.size(), count - 1, stop_delays[stop_delays.size() / 2], stop_delays.back(),
        rollback_delays.size(), rollback_delays.empty() ? 0 : rollback_delays.back());
    s.stop();
  }
  const int count;
  testbed::Fleet fleet;
};

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const std::string what = argc > 1 ? argv[1] : "";
  const auto number = [&](int n, int absent) { return argc > n ? std::atoi(argv[n]) : absent; };
  if (what == "same")
    measure_false_stops(static_cast<unsigned>(number(2, 0)), static_cast<unsigned>(number(3, 500)));
  if (what == "faults") measure_faults(number(2, 100), static_cast<unsigned>(number(3, 5)));
  if (what == "processes") {
    Measurement measurement(number(2, 10), static_cast<unsigned>(number(3, 1)));
    measurement.fleet.start_all();
    measurement.fleet.scheduler().start(measurement.measure());
    measurement.fleet.scheduler().run();
  }
  return 0;
}
