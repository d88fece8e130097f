// Measurements of rolling changes, for docs/changes.md; not a test.
//   bench_changes same [FROM SEEDS]         changes that change nothing, in memory: how many are stopped
//   bench_changes faults [ROUTERS SEEDS]    planted faults, in memory: where they are stopped, whom they
//   harm; blind beside bench_changes processes N [SEED]        N processes: bytes and CPU with and without a
//   change, a stop, a driver's crash
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

void pass(RolloutFleet& fleet, Seconds seconds) {
  fleet.until(seconds, [] { return false; });
}

void same(unsigned from, unsigned seeds) {
  int stopped = 0;
  for (unsigned seed = from; seed < from + seeds; ++seed) {
    RolloutFleet fleet({.routers = 12,
                        .seed = 50000 + seed,
                        .sites = 1 + static_cast<int>(seed % 2),
                        .quality = [seed](const std::string&, int n,
                                          Seconds now) { return RolloutFleet::uneven(seed, n, now); },
                        .time_step = 0.1});
    pass(fleet, 15);
    fleet[3].propose(RolloutFleet::make_plan(), fleet.now(3));
    fleet.until(900, [&] { return fleet.done("c1") || fleet.stopped("c1"); });
    if (!fleet.stopped("c1")) continue;
    ++stopped;
    fmt::print("  seed {}: {}\n", seed, fleet.rollout_status(0, "c1").why);
  }
  fmt::print("{} of {} changes that change nothing were stopped\n", stopped, seeds);
}

void faults(int routers, unsigned seeds) {
  struct Fault {
    const char* name;
    void (*spoil)(Quality&);
  };
  const Fault all[] = {{"refuses half", [](Quality& q) { q.refused = 0.5; }},
                       {"refuses a fifth more", [](Quality& q) { q.refused = 0.2; }},
                       {"refuses 2 in 100 more", [](Quality& q) { q.refused = 0.022; }},
                       {"a tenth late", [](Quality& q) { q.late = 0.1; }},
                       {"twice as slow", [](Quality& q) { q.time = 0.1; }},
                       {"leaks", [](Quality& q) { q.memory = 90; }},
                       {"falls after 5 s", [](Quality& q) { q.dies_after = 5; }},
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
      pass(fleet, 15);
      const Seconds from = fleet.now();
      fleet[3].propose(RolloutFleet::make_plan(), fleet.now(3));
      fleet.until(
          900, [&] { return fleet.done("c1") || (fleet.stopped("c1") && fleet.all_run("g1")); }, 0.5);
      harmed.push_back(fleet.harmed_share()), took.push_back(fleet.now() - from);
      stages.push_back(fleet.stopped("c1") ? fleet.stage("c1") : 99);
    }
    // Blind: tenths 1.6 s apart, and a person who sees it a minute after the last and goes back the same way.
    Quality spoilt;
    f.spoil(spoilt);
    const double each =
        spoilt.ready && spoilt.dies_after == 0 ? spoilt.refused + spoilt.failed + spoilt.late : 1;
    const double blind = each * (16.0 / 2 + 60 + 16.0 / 2) / (16 + 60 + 16);
    const auto middle = [](auto v) { return std::ranges::sort(v), v[v.size() / 2]; };
    fmt::print(
        "{}: stopped at stage {} (worst {}), harmed {:.4f}% of the txns (worst {:.4f}%), back in {:.0f} s; "
        "blind {:.1f}%\n",
        f.name, middle(stages), std::ranges::max(stages), middle(harmed) * 100,
        std::ranges::max(harmed) * 100, middle(took), blind * 100);
  }
}

struct Play {
  Play(int routers, unsigned seed)
      : count(routers),
        fleet({.routers = routers, .cache_servers = 20, .seed = seed, .clients = false, .changes = true}) {}
  // When each log first says it, on the wall clock; 0 where it does not.
  std::vector<Seconds> said(const std::string& words) const {
    std::vector<Seconds> times;
    for (int n = 0; n < count; ++n) {
      const auto log = fleet.log_of(n);
      const auto at = log.find(words);
      if (at == std::string::npos) {
        times.push_back(0);
        continue;
      }
      // 7.291 2026-12-02T00:25:50.572Z ...
      const auto line = log.rfind('\n', at) == std::string::npos ? 0 : log.rfind('\n', at) + 1;
      const auto t = log.find('T', line);
      times.push_back(std::stod(log.substr(t + 1, 2)) * 3600 + std::stod(log.substr(t + 4, 2)) * 60 +
                      std::stod(log.substr(t + 7, 6)));
    }
    return times;
  }
  static Seconds day_time(Seconds now) { return std::fmod(now, 86400); }
  Task play() {
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
    fmt::print("{} routers, calm: {:.0f} bytes a second sent by each, {:.3f}% of a core\n", count,
               static_cast<double>(fleet.bytes_between_routers() - bytes) / kCalm / count,
               (cpu() - used) / kCalm / count * 100);
    fleet.write_document(
        1, "c1",
        "change \"c1\" {\n before = g1\n after = g2\n by = ana\n settings = {\"allowed.max_attempts=3\"}\n"
        " txns = 1\n least = 2\n longest = 600\n}\n");
    co_await e.wait(s.now() + 20);  // to its canary, where it waits for txns that do not come
    bytes = fleet.bytes_between_routers(), used = cpu();
    co_await e.wait(s.now() + kCalm);
    fmt::print("a change under way: {:.0f} bytes a second sent by each, {:.3f}% of a core\n",
               static_cast<double>(fleet.bytes_between_routers() - bytes) / kCalm / count,
               (cpu() - used) / kCalm / count * 100);
    fleet.links().faults({.lost = 0.05, .twice = 0.02, .delay = 0.01});
    const auto drove = said("this router is the driver");
    int driver = 0;
    for (int n = 0; n < count; ++n)
      if (drove[static_cast<std::size_t>(n)] > drove[static_cast<std::size_t>(driver)]) driver = n;
    const Seconds killed = day_time(s.now());
    fleet.kill(driver);
    co_await e.wait(s.now() + 25);
    Seconds again = 0;
    for (int n = 0; n < count; ++n)
      if (const auto t = said("this router is the driver")[static_cast<std::size_t>(n)];
          n != driver && t > killed)
        again = t;
    fmt::print("driver killed: another drives after {:.1f} s\n", again - killed);
    const Seconds stop = day_time(s.now());
    fleet.write_document(2, "stop", "stop \"c1\" { why = measured }\n");
    co_await e.wait(s.now() + 6);
    std::vector<Seconds> heard, back;
    Seconds first = 1e9;  // the router that was told says it: what the laboratory took to tell it is left out
    for (const Seconds t : said("STOPPED"))
      if (t > 0) first = std::min(first, t);
    fmt::print("told after {:.0f} ms; ", (first - stop) * 1e3);
    for (const Seconds t : said("STOPPED"))
      if (t > 0) heard.push_back((t - first) * 1e3);
    for (const Seconds t : said("change c1: this router runs g1"))
      if (t > 0) back.push_back((t - first) * 1e3);
    std::ranges::sort(heard), std::ranges::sort(back);
    fmt::print(
        "a stop, 5% lost: {} of {} heed it, median {:.0f} ms, last {:.0f} ms; {} back, the last after {:.0f} "
        "ms\n",
        heard.size(), count - 1, heard[heard.size() / 2], heard.back(), back.size(),
        back.empty() ? 0 : back.back());
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
  if (what == "same") same(static_cast<unsigned>(number(2, 0)), static_cast<unsigned>(number(3, 500)));
  if (what == "faults") faults(number(2, 100), static_cast<unsigned>(number(3, 5)));
  if (what == "processes") {
    Play play(number(2, 10), static_cast<unsigned>(number(3, 1)));
    play.fleet.start_all();
    play.fleet.scheduler().start(play.play());
    play.fleet.scheduler().run();
  }
  return 0;
}
