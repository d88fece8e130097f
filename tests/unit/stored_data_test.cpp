// Data stored by release landing-5 (commit 9913cd0) is read completely: purges, freeze windows, rollouts and
// the warm-start snapshot. The fixture was written by that release, see tests/fixtures/write.sh.
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/hash.h"
#include "freeze/calendar.h"
#include "purge/entry.h"
#include "replication/link_codec.h"
#include "rollout/persisted_state.h"
#include "rollout/rollout.h"
#include "store/store.h"
#include "warm_start/snapshot_file.h"

using namespace walkpaddle;

namespace {

// The entries of the fixture's store, read from a copy, since opening a store writes its lock file.
class StoredData {
 public:
  StoredData()
      : folder_(std::filesystem::temp_directory_path() /
                ("walkpaddle-stored-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(folder_);
    std::filesystem::copy(std::filesystem::path(WALKPADDLE_FIXTURES) / "landing-5" / "store", folder_);
    store::Store store({.folder = folder_.string(), .max_megabytes = 16});
    store.for_each([this](std::string_view key, std::string_view value) {
      entries[std::string(key)] = std::string(value);
    });
  }
  StoredData(const StoredData&) = delete;
  StoredData& operator=(const StoredData&) = delete;
  ~StoredData() { std::filesystem::remove_all(folder_); }

  std::map<std::string, std::string> entries;

 private:
  std::filesystem::path folder_;
};

}  // namespace

TEST_CASE("purges stored by landing-5 are read") {
  const StoredData stored;
  std::vector<std::string> purges;
  for (const auto& [key, value] : stored.entries) {
    if (!key.starts_with('e')) continue;
    const auto entry = replication::decode_stored_purge(value);
    purges.push_back(std::to_string(entry.stamp.number) + " " + std::string(purge::to_string(entry.kind)) +
                     " " + entry.target);
    CHECK(entry.stamp.issued_at > 0);
    CHECK(entry.position > 0);
  }
  std::ranges::sort(purges);
  CHECK(purges == std::vector<std::string>{"1 tag spring", "2 object 00000000000000aa", "3 group 12",
                                           "4 pattern 0*1."});
}

TEST_CASE("freeze windows and rollouts stored by landing-5 are restored") {
  constexpr Seconds kWrittenAt = 1796236620;  // Unix time, in 2026
  const StoredData stored;
  const auto self = stable_hash("r1");
  const auto peer = stable_hash("r2");
  freeze::Calendar calendar(self, {self, peer}, {});
  rollout::Rollout::Setup setup{.self = {self, ""},
                                .peers = {{peer, ""}},
                                .generation = "g1",
                                .seed = 1,
                                .durable = true,
                                .alive = [](int) { return false; },
                                .refusal = [](const rollout::RolloutPlan&) { return std::string(); }};
  rollout::Rollout rollouts(setup, calendar, {}, kWrittenAt);
  rollout::PersistedState persisted({&calendar, &rollouts});
  for (const auto& [key, value] : stored.entries)
    if (rollout::PersistedState::owns(key)) persisted.restore(key, value, kWrittenAt);

  const auto windows = calendar.status();
  REQUIRE(windows.size() == 1);
  CHECK(windows[0].window.name == "stocktaking");
  CHECK(windows[0].window.zone == "Europe/London");
  CHECK(freeze::to_string(windows[0].window.from) == "12-28 18:00");
  CHECK(freeze::to_string(windows[0].window.until) == "12-31 09:00");
  CHECK(windows[0].window.author == "bo");

  const auto restored = rollouts.status(kWrittenAt);
  REQUIRE(restored.size() == 1);
  CHECK(restored[0].plan.name == "cancel-off");
  CHECK(restored[0].plan.before == "g1");
  CHECK(restored[0].plan.after == "g2");
  CHECK(restored[0].plan.author == "ana");
  CHECK(restored[0].plan.body == "allowed.cancel=false");
  CHECK_FALSE(restored[0].stopped);
}

TEST_CASE("the warm-start snapshot written by landing-5 is read") {
  constexpr Seconds kReadAt = 1796236630;
  std::ifstream in(std::filesystem::path(WALKPADDLE_FIXTURES) / "landing-5" / "learnt.json");
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  const auto snapshot = warm_start::parse_snapshot(text, "fixture", 6000, kReadAt);
  CHECK(snapshot.written_at == Approx(1796236620.5));
  REQUIRE(snapshot.service_times.size() == 2);
  CHECK(snapshot.service_times[0].request_class == "page");
  CHECK(snapshot.service_times[0].mean == 0.25);
  CHECK(snapshot.service_times[0].answers == 40);
  CHECK(snapshot.service_times[1].request_class == "order");
  REQUIRE(snapshot.unreachable.size() == 1);
  CHECK(snapshot.unreachable[0].id == "s-00000002");
  CHECK(snapshot.unreachable[0].failed_at == Approx(1796236600.25));
  SECTION("it is refused an hour later") {
    CHECK_THROWS_AS(warm_start::parse_snapshot(text, "fixture", 6000, kReadAt + 3600), InputError);
  }
}
