// walkpaddle-soak: plays plans of overlapping troubles against routers as processes, and judges them.
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
      "seed {}: {} troubles, {} requests, {} served, {} refused, {} failed, {} left, {} excused, {} crossed, "
      "{} "
      "attempts, {} connections, worst lag {:.0f} ms, {} violations\n",
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
  CLI::App app("walkpaddle-soak: routers as processes under overlapping troubles, judged from outside");
  std::uint64_t seed = 1;
  int seeds = 1, processes = 12, max_runs = 0;
  double seconds = 20, hours = 0;
  std::string plan_file, folder;
  soak::Programs programs{WALKPADDLE_PROGRAM, WALKPADDLE_SHIM, ""};
  app.add_option("--seed", seed, "the first seed");
  app.add_option("--seeds", seeds, "so many, one after another")->check(CLI::Range(1, 100000));
  app.add_option("--seconds", seconds, "of traffic, of each")->check(CLI::Range(2.0, 86400.0));
  app.add_option("--hours", hours, "goes on with further seeds for so long");
  app.add_option("--processes", processes, "routers")->check(CLI::Range(1, 40));
  app.add_option("--plan", plan_file, "plays this document, not a seed's plan");
  app.add_option("--reduce", max_runs, "takes troubles out of a plan that fails, in so many plays at most");
  app.add_option("--program", programs.router, "another program in place of the one that was built");
  app.add_option("--folder", folder, "where the processes' files stay; without it they are removed");
  bool only_print = false;
  app.add_flag("--print", only_print, "prints the plan of the first seed, and plays nothing");
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
          fmt::print("  again: --seed {} --seconds {} --processes {}\n", plan.seed, seconds, processes);
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
