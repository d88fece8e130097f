// A simulated fleet whose routers take part in rollouts. Each router has a calendar, a rollout, simulated
// traffic whose quality depends on the generation that it runs, and a machine that keeps its program and, if
// wanted, its store over a crash. Virtual time and a seeded random generator; no sockets, no processes.
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
  // How a router that runs a generation treats its requests at a moment. Shares are of all requests.
  struct Quality {
    double refused = 0.002, failed = 0.0005, late = 0.01;
    double time = 0.05;                  // mean response time of requests that are not late, s
    double retries = 0.05, fills = 0.2;  // with a second attempt; with a fill
    double memory = 40, cpu = 0.01;      // resident MB; processor time of a request, s
    bool ready = true;                   // whether a router becomes ready with it
    Seconds dies_after = 0;    // time from the start or switch to it until the router crashes; 0: never
    bool breaks_rule = false;  // violates an invariant
  };
  struct Setup {
    int routers = 8;
    unsigned seed = 1;
    NetworkConditions net{};
    double rate = 20;  // requests per second of the mean router; some receive several times that
    bool store = true;
    int sites = 1;
    Seconds now = 1'780'000'000;  // Unix time
    std::function<Quality(const std::string& generation, int router, Seconds now)> quality{};
    std::function<std::string(const rollout::RolloutPlan&)> refuses{};
    Seconds time_step = 0.05;
  };
  explicit RolloutFleet(const Setup& setup);
  static rollout::RolloutPlan make_plan(const char* name = "c1", const char* before = "g1",
                                        const char* after = "g2");
  // The same quality for all generations; it differs between routers and varies with time.
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
  // Runs until `holds`, for at most `most` seconds, and returns whether it held. Checks it every `look`
  // seconds; then crashes the routers that are due to exit and starts those that are due to come back.
  bool until(Seconds most, const std::function<bool()>& holds, Seconds look = 0.25);
  void crash(int n);
  void start(int n);
  void forget(int n) { machines_[static_cast<std::size_t>(n)].store.clear(); }
  bool up(int n) const { return memory.up(n); }

  int with(const std::string& generation);  // number of routers that run it
  bool all_run(const std::string& generation) { return with(generation) == memory.size(); }
  int driver();  // the driver with the greatest term; -1: there is none
  rollout::RolloutStatus rollout_status(int n, const std::string& change);
  bool stopped(const std::string& change);  // at every running router, as is done()
  bool done(const std::string& change);
  std::uint32_t stage(const std::string& change);  // the latest stage that any router knows
  const std::vector<std::string>& log_lines(int n) const {
    return machines_[static_cast<std::size_t>(n)].log_lines;
  }
  bool any_router_logged(const std::string& text) const;
  // Share of all requests that were late, or not served, at a router of another generation than g1.
  double harmed_share() const {
    return all_ > 0 ? static_cast<double>(harmed_) / static_cast<double>(all_) : 0;
  }

  SimulatedFleet memory;
  int most_moving = 0;    // the greatest number of routers that were due to start again at one time
  std::size_t moves = 0;  // moves carried out, rollbacks included

 private:
  struct Machine {
    std::string program = "g1";  // the generation that the next start runs
    std::map<std::string, std::string> store;
    std::vector<std::string> log_lines;
    rollout::MetricsCollector metrics;
    double share = 1;  // traffic relative to the mean router
    Seconds started = 0, back_at = 0, dies_at = 0, fails_at = 0, cpu = 0;
    std::string trying;   // a program that is being started for the first time
    std::string earlier;  // the program to return to if that one does not become ready
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
