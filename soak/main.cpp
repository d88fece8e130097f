// walkpaddle-soak: runs router processes under overlapping faults and checks invariants from outside.
#include <fmt/core.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <map>

#include "base/text.h"
#include "soak/soak.h"

using namespace walkpaddle;

namespace {

constexpr int kMaxShown = 8;

void show(const soak::Plan& plan, const soak::Result& result) {
  const auto& c = result.counts;
  fmt::print(
      "seed {}: {} faults, {} requests, {} served, {} rejected, {} failed, {} cancelled, {} excused, "
      "{} crossed a close, {} attempts, {} connections, maximum lag {:.0f} ms, {} violations\n",
      plan.seed, plan.faults.size(), c.sent, c.served, c.rejected, c.failed, c.cancelled, c.excused,
      c.crossed, c.attempts, result.connections, result.worst_lag * 1e3, result.violations.size());
  std::map<std::string_view, int> counts_by_name;
  int shown = 0;
  for (std::size_t n = 0; n < result.violations.size(); ++n) {
    const auto& v = result.violations[n];
    ++counts_by_name[name_of(v.invariant)];
    if (++shown > kMaxShown) continue;
    fmt::print("  {:8.3f} s  {}  router {}  request {:016x}: {}\n{}", v.at, name_of(v.invariant), v.router,
               v.request, v.description, result.traces[n]);
  }
  for (const auto& [name, times] : counts_by_name) fmt::print("  {} {}\n", name, times);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "walkpaddle-soak: runs router processes under overlapping faults and checks invariants from outside");
  std::uint64_t seed = 1;
  int seeds = 1, processes = 12, max_runs = 0;
  double seconds = 20, hours = 0;
  std::string plan_file, folder;
  soak::Programs programs{WALKPADDLE_PROGRAM, WALKPADDLE_SHIM, ""};
  app.add_option("--seed", seed, "seed of the first plan");
  app.add_option("--seeds", seeds, "number of seeds to run, one after another")->check(CLI::Range(1, 100000));
  app.add_option("--seconds", seconds, "traffic time of each run, in seconds")
      ->check(CLI::Range(2.0, 86400.0));
  app.add_option("--hours", hours, "runs further seeds for this long");
  app.add_option("--processes", processes, "number of router processes")->check(CLI::Range(1, 40));
  app.add_option("--plan", plan_file, "runs the plan in this file instead of plans from seeds");
  app.add_option("--reduce", max_runs,
                 "removes faults from a failing plan while it still fails, in at most this many runs");
  app.add_option("--program", programs.router, "router program to run instead of the one that was built");
  app.add_option("--folder", folder, "keeps the files of the processes here; by default they are removed");
  bool only_print = false;
  app.add_flag("--print", only_print, "prints the plan of the first seed without running it");
  CLI11_PARSE(app, argc, argv);
  if (only_print) {
    fmt::print("{}", soak::format_plan(soak::random_plan(seed, seconds, processes)));
    return 0;
  }
  programs.folder =
      folder.empty()
          ? (std::filesystem::temp_directory_path() / fmt::format("walkpaddle-soak-{}", ::getpid())).string()
          : folder;
  int failed = 0, played = 0;
  try {
    const Seconds began = soak::unix_now();
    for (;;) {
      const auto plan =
          plan_file.empty() ? soak::random_plan(seed, seconds, processes) : soak::read_plan(plan_file);
      const auto result = soak::run_plan(plan, programs);
      show(plan, result);
      ++played, ++seed;
      if (!result.violations.empty()) {
        ++failed;
        if (max_runs > 0)
          fmt::print("{}", soak::format_plan(soak::minimize_plan(plan, programs, max_runs)));
        else if (plan_file.empty())
          fmt::print("  reproduce with: --seed {} --seconds {} --processes {}\n", plan.seed, seconds,
                     processes);
      }
      if (!plan_file.empty() || (played >= seeds && soak::unix_now() > began + hours * 3600)) break;
    }
  } catch (const std::exception& e) {
    fmt::print(stderr, "walkpaddle-soak: {}\n", e.what());
    return 2;
  }
  if (folder.empty()) std::filesystem::remove_all(programs.folder);
  fmt::print("{} passed, {} failed\n", played - failed, failed);
  return failed > 0 ? 1 : 0;
}
