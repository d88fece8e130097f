// What a request costs as the number of cache servers grows: one router, the same requests a second, 200, 800
// and 3,200 servers, 900 routers by the settings. Processor time for a request, median and 99th of the
// answer's time, memory, connections. The start, which reads the list, is taken off by a play without
// requests. Not a test.
//   bench_size [PROGRAM]
#include <fmt/core.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>

#include "soak/soak.h"

using namespace walkpaddle;

int main(int argc, char** argv) {
  const auto folder = std::filesystem::temp_directory_path() / fmt::format("walkpaddle-size-{}", ::getpid());
  const soak::Programs programs{argc > 1 ? argv[1] : WALKPADDLE_PROGRAM, WALKPADDLE_SHIM, folder.string()};
  constexpr double kQuiet = 0.01;  // requests a second: none
  for (const double rate : {60.0, 300.0})
    for (const int servers : {200, 800, 3200}) {
      soak::Plan plan{.seed = 3,
                      .seconds = 10,
                      .processes = 1,
                      .servers = servers,
                      .rate = rate,
                      .max_descriptors = 544,
                      .fleet_size = 900};
      auto result = soak::run_plan(plan, programs);
      plan.rate = kQuiet;
      const auto idle = soak::run_plan(plan, programs);
      std::ranges::sort(result.latencies);
      const auto at = [&](double part) {
        return result.latencies[static_cast<std::size_t>(part *
                                                         static_cast<double>(result.latencies.size() - 1))] *
               1e3;
      };
      const auto requests = static_cast<double>(result.counts.sent);
      fmt::print(
          "{} a second, {} servers: {:.0f} us a request ({:.2f} s idle), median {:.1f} ms, 99th {:.1f} ms, "
          "{:.1f} "
          "MB, {} connections, {} of {:.0f} served\n",
          rate, servers, (result.cpu_seconds - idle.cpu_seconds) / requests * 1e6, idle.cpu_seconds, at(0.5),
          at(0.99), result.memory_mb, result.connections, result.counts.served, requests);
    }
  std::filesystem::remove_all(folder);
}
