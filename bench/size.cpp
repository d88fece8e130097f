// Measures what a request costs as the number of cache servers grows: one router, constant request rate, 200,
// 800 and 3,200 servers, a fleet_size of 900 routers by the configuration. Prints processor time per request,
// median and 99th percentile of the response time, memory and connections. The processor time of a run
// without requests, which reads the same endpoint list, is subtracted. Not a test.
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
  constexpr double kIdleRate = 0.01;  // requests per second: practically none
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
      plan.rate = kIdleRate;
      const auto idle = soak::run_plan(plan, programs);
      std::ranges::sort(result.latencies);
      const auto percentile = [&](double part) {
        return result.latencies[static_cast<std::size_t>(part *
                                                         static_cast<double>(result.latencies.size() - 1))] *
               1e3;
      };
      const auto requests = static_cast<double>(result.counts.sent);
      fmt::print(
          "{} requests/s, {} servers: {:.0f} us of processor time per request ({:.2f} s without requests), "
          "median {:.1f} ms, 99th percentile {:.1f} ms, {:.1f} MB, {} connections, {} of {:.0f} served\n",
          rate, servers, (result.cpu_seconds - idle.cpu_seconds) / requests * 1e6, idle.cpu_seconds,
          percentile(0.5), percentile(0.99), result.memory_mb, result.connections, result.counts.served,
          requests);
    }
  std::filesystem::remove_all(folder);
}
