// A fleet in memory whose routers take part in rolling changes: each with a calendar and a rollout, traffic
// of its own, generations of differing quality, a machine that keeps its program and, if wanted, its store
// over a crash. On top of testbed/simulated_fleet.h; virtual time, seeded, no socket, no process.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "rollout/rollout.h"
#include "testbed/simulated_fleet.h"

namespace walkpaddle::testbed {

class RolloutFleet {
 public:
  // What a router of a generation does to its txns, at a moment.
  struct Quality {
    double refused = 0.002, failed = 0.0005, late = 0.01;
    double time = 0.05;                  // mean answer, s
    double retries = 0.05, fills = 0.2;  // past the first; a txn
    double memory = 40, cpu = 0.01;
    bool ready = true;       // a start of it becomes so
    Seconds dies_after = 0;  // of a start; 0: never
    bool breaks_rule = false;
  };
  struct Setup {
    int routers = 8;
    unsigned seed = 1;
    NetworkConditions net{};
    double rate = 20;  // txns a second of the mean router; some see several times that
    bool store = true;
    int sites = 1;
    Seconds now = 1'780'000'000;
    std::function<Quality(const std::string& generation, int router, Seconds now)> quality{};
    std::function<std::string(const rollout::RolloutPlan&)> refuses{};
    Seconds time_step = 0.05;
  };
  explicit RolloutFleet(const Setup& setup);
  static rollout::RolloutPlan make_plan(const char* name = "c1", const char* before = "g1",
                                        const char* after = "g2");
  // No generation differs, but routers do, and the day goes up and down.
  static Quality uneven(unsigned seed, int n, Seconds now);
  static std::string site_of(int n, int sites) { return sites > 1 && n % sites == 1 ? "west" : "east"; }

  rollout::Rollout& operator[](int n) {
    return *static_cast<rollout::Rollout*>(memory.operator[](n).states[1].get());
  }
  freeze::Calendar& calendar(int n) {
    return *static_cast<freeze::Calendar*>(memory.operator[](n).states[0].get());
  }
  Seconds now(int n = 0) { return memory.now + memory[n].skew; }
  void go(Seconds seconds) { memory.go(seconds); }
  // Until it holds, `most` seconds at most; whether it came to hold.
  bool until(Seconds most, const std::function<bool()>& holds, Seconds look = 0.25);
  void crash(int n);
  void start(int n);
  void forget(int n) { machines_[static_cast<std::size_t>(n)].store.clear(); }
  bool up(int n) const { return memory.up(n); }

  int with(const std::string& generation);  // routers that run it
  bool all_run(const std::string& generation) { return with(generation) == memory.size(); }
  int driver();  // -1: nobody drives; the one that says so with the greatest term
  rollout::RolloutStatus rollout_status(int n, const std::string& change);
  bool stopped(const std::string& change);  // at every router that is up
  bool done(const std::string& change);
  std::uint32_t stage(const std::string& change);  // the furthest that any router knows
  const std::vector<std::string>& said(int n) const { return machines_[static_cast<std::size_t>(n)].said; }
  bool any_router_logged(const std::string& words) const;
  double harmed_share() const {
    return all_ > 0 ? static_cast<double>(harmed_) / static_cast<double>(all_) : 0;
  }

  SimulatedFleet memory;
  int most_moving = 0;    // at a time
  std::size_t moves = 0;  // carried out, back ones too

 private:
  struct Machine {
    std::string program = "g1";  // what a start runs
    std::map<std::string, std::string> store;
    std::vector<std::string> said;
    rollout::MetricsCollector metrics;
    double share = 1;  // of the mean router's traffic
    Seconds started = 0, back_at = 0, dies_at = 0, fails_at = 0, cpu = 0;
    std::string trying;  // a program that is being started for the first time; the earlier one if it fails
    std::string earlier;
  };
  void create_states(SimulatedFleet::Router& r, Seconds now);
  void step(SimulatedFleet::Router& r, Seconds now);
  void traffic(Machine& m, const std::string& generation, int n, Seconds now);
  void carry_out(SimulatedFleet::Router& r, const rollout::GenerationMove& move, Seconds now);
  Quality quality(const std::string& generation, int n, Seconds now) const;
  void supervise();

  const Setup setup_;
  std::mt19937 chance_;
  std::vector<Machine> machines_;
  std::uint64_t all_ = 0, harmed_ = 0;
};

}  // namespace walkpaddle::testbed
