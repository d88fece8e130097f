// Measures what the purges in force cost a request and in memory, how long a restart with many of them takes,
// and how many fills purges cause.
#include <benchmark/benchmark.h>
#include <fmt/core.h>
#include <malloc.h>

#include <filesystem>
#include <random>
#include <thread>

#include "config/settings.h"
#include "io/log.h"
#include "purge/purge_registry.h"
#include "replication/link_codec.h"
#include "replication/purge_persister.h"

namespace {

using namespace walkpaddle;
using purge::PurgeKind;

std::string object_name(std::uint64_t n) { return fmt::format("{:016x}", n * 0x9e3779b97f4a7c15u); }

purge::PurgeRegistry::Setup setup(std::size_t entries) {
  purge::PurgeRegistry::Setup s;
  s.replicated = true, s.self = 1, s.max_entries = entries, s.max_objects = 65536;
  return s;
}

// One call of valid_since() with range(0) purges in force: about one in ten by tag, 60 by pattern, the others
// by object. The tags of half of the objects are known.
void cost_per_request(benchmark::State& state) {
  const auto before = mallinfo2().uordblks;
  purge::PurgeRegistry purges(setup(200'000), 1e9);
  const auto count = static_cast<std::uint64_t>(state.range(0));
  for (std::uint64_t n = 0; n < count; ++n) {
    const Seconds now = 1e9 + static_cast<Seconds>(n) * 1e-3;
    if (n % std::max<std::uint64_t>(1, count / 60) == 7)
      purges.issue(PurgeKind::pattern, fmt::format("{:02x}.*{:02x}", n % 251, n % 13), now);
    else if (n % 10 == 0)
      purges.issue(PurgeKind::tag, fmt::format("contract{}", n), now);
    else
      purges.issue(PurgeKind::object, object_name(n), now);
  }
  constexpr std::uint64_t kObjects = 20'000;
  std::vector<std::pair<std::uint64_t, std::string>> objects;
  for (std::uint64_t n = 0; n < kObjects; ++n) {
    objects.emplace_back(stable_hash(object_name(n * 3)), object_name(n * 3));
    const std::uint64_t tags[] = {stable_hash(fmt::format("contract{}", n)), stable_hash("all")};
    if (n % 2 == 0) purges.record_tags(objects.back().first, tags, 1e9 + 200);
  }
  state.counters["MB"] = static_cast<double>(mallinfo2().uordblks - before) / (1 << 20);
  std::size_t n = 0;
  for (auto _ : state) {
    const auto& [hash, name] = objects[n++ % kObjects];
    benchmark::DoNotOptimize(purges.valid_since(hash, 3, name, 1e9 + 201));
  }
}
BENCHMARK(cost_per_request)->Arg(0)->Arg(1000)->Arg(100'000);

// Time from opening the store until all of its purges are in force.
void restart(benchmark::State& state) {
  const auto folder = (std::filesystem::temp_directory_path() / "walkpaddle-bench-store").string();
  std::filesystem::remove_all(folder);
  const auto count = static_cast<std::uint64_t>(state.range(0));
  Scheduler scheduler;
  {
    store::Store store({folder, 1024});
    purge::PurgeLog log({.entries = 2});
    for (std::uint64_t n = 1; n <= count; ++n) {
      const purge::PurgeEntry e{
          {scheduler.now(), 1, n}, PurgeKind::object, object_name(n), scheduler.now(), n};
      std::string key = "e";
      for (const auto part : {e.stamp.issuer, e.stamp.number})
        for (int shift = 56; shift >= 0; shift -= 8) key += static_cast<char>(part >> shift & 255);
      while (!store.put(key, replication::encode_stored_purge(e), n))
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  auto s = setup(4 * count);
  s.storage = purge::LogStorage::disk;
  Log log("bench");
  for (auto _ : state) {
    store::Store store({folder, 1024});
    purge::PurgeRegistry purges(s, scheduler.now());
    replication::PurgePersister persister(scheduler, log, purges, store);
    if (purges.log().size() != count) state.SkipWithError("not all purges were restored");
  }
  std::filesystem::remove_all(folder);
}
BENCHMARK(restart)->Arg(10'000)->Arg(1'000'000)->Iterations(1)->Unit(benchmark::kMillisecond);

// Fills at one cache server that keeps all copies: ten minutes of 200 requests per second for 2,000 objects
// of unequal popularity, each with two of 200 tags, and a purge by tag every second. Arguments: percentage of
// objects whose tags are known; maximum age in milliseconds of copies that a router accepts while it does not
// trust its purge log, 0 for a router that trusts it.
void fills(benchmark::State& state) {
  constexpr int kObjects = 2000, kTags = 200, kSeconds = 600, kRequestsPerSecond = 200;
  int filled = 0, requests = 0;
  for (auto _ : state) {
    filled = requests = 0;
    std::mt19937 chance(1);
    std::uniform_real_distribution<> roll(0, 1);
    auto s = setup(65536);
    purge::PurgeRegistry purges(s, 1e9);
    std::vector<std::uint64_t> hashes(kObjects);
    std::vector<Seconds> made(kObjects, 0);
    for (int n = 0; n < kObjects; ++n) {
      hashes[n] = stable_hash(object_name(static_cast<std::uint64_t>(n)));
      const std::uint64_t tags[] = {stable_hash(fmt::format("t{}", n % kTags)),
                                    stable_hash(fmt::format("t{}", n * 7 / 3 % kTags))};
      if (n % 100 < state.range(0)) purges.record_tags(hashes[n], tags, 1e9);
    }
    for (int second = 0; second < kSeconds; ++second) {
      purges.issue(PurgeKind::tag, fmt::format("t{}", chance() % kTags), 1e9 + second);
      for (int t = 0; t < kRequestsPerSecond; ++t, ++requests) {
        const Seconds now = 1e9 + second + static_cast<Seconds>(t) / kRequestsPerSecond;
        const double u = roll(chance);
        const int n = static_cast<int>(kObjects * u * u * u);
        const Seconds limit = static_cast<Seconds>(state.range(1)) / 1e3;
        const Seconds least =
            std::max(purges.valid_since(hashes[n], 0, {}, now), limit > 0 ? now - limit : 0);
        if (made[n] == 0 || made[n] < least) made[n] = now, ++filled;
      }
    }
  }
  state.counters["fills_per_request"] = static_cast<double>(filled) / requests;
}
BENCHMARK(fills)
    ->Args({100, 0})
    ->Args({90, 0})
    ->Args({50, 0})
    ->Args({0, 0})
    ->Args({100, 2000})
    ->Args({100, 10000})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
