// Positions in the purge log over restarts of a router, and the cursors that cache servers keep of them.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <thread>

#include "purge/purge_registry.h"
#include "replication/purge_persister.h"
#include "store/store.h"

using namespace walkpaddle;
using namespace walkpaddle::purge;

namespace {

constexpr Seconds kCopyLifetime = 10;
constexpr int kServer = 0;

PurgeRegistry::Setup router_setup() {
  PurgeRegistry::Setup setup;
  setup.replicated = true;
  setup.storage = LogStorage::disk;
  setup.self = 7;
  setup.max_copy_age = kCopyLifetime;
  return setup;
}

// A router's purges with their store; destroyed and constructed again, it is one that restarted.
struct Router {
  explicit Router(const std::string& folder)
      : store({.folder = folder, .max_megabytes = 4}),
        purges(router_setup(), scheduler.now()),
        persister(scheduler, log, purges, store) {}

  const PurgeEntry& purge(const std::string& object) {
    const auto& entry = purges.issue(PurgeKind::object, object, scheduler.now());
    persister.on_turn_end();
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (store.durable_sequence() < entry.position && std::chrono::steady_clock::now() < until)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    purges.mark_stored(store.durable_sequence(), scheduler.now());
    return entry;
  }
  // All purges so far become older than any copy.
  void expire_purges() {
    purges.trim(scheduler.now() + 2 * kCopyLifetime);
    persister.on_turn_end();
  }
  // Reports the cache server's cursor and returns the purges that are then sent to it.
  std::vector<std::string> sent_after(std::uint64_t cursor) {
    auto& delivery = purges.delivery();
    delivery.set_listed(kServer, true);
    delivery.cursor_reported(kServer, cursor);
    std::vector<std::string> sent;
    while (const auto message = delivery.next(scheduler.now()))
      if (message->entry != nullptr) sent.push_back(message->entry->target);
    return sent;
  }

  Scheduler scheduler;
  Log log{"purge_positions"};
  store::Store store;
  PurgeRegistry purges;
  replication::PurgePersister persister;
};

struct StoreFolder {
  StoreFolder()
      : path((std::filesystem::temp_directory_path() / ("walkpaddle-positions-" + std::to_string(::getpid())))
                 .string()) {
    std::filesystem::remove_all(path);
  }
  StoreFolder(const StoreFolder&) = delete;
  StoreFolder& operator=(const StoreFolder&) = delete;
  ~StoreFolder() { std::filesystem::remove_all(path); }
  const std::string path;
};

using Targets = std::vector<std::string>;

}  // namespace

// Guards against purges that are confirmed after a restart and were never sent to a cache server (review/8).
TEST_CASE("a purge issued after a restart is sent to a cache server that confirmed all earlier ones") {
  const StoreFolder folder;
  const bool all_expire = GENERATE(true, false);
  const int restarts = GENERATE(1, 2);
  std::uint64_t cursor = 0;
  {
    Router router(folder.path);
    for (const char* object : {"a", "b", "c"}) cursor = router.purge(object).position;
    if (all_expire) router.expire_purges();
  }
  for (int n = 1; n < restarts; ++n) Router(folder.path).expire_purges();
  Router router(folder.path);
  const auto entry = router.purge("d");
  CHECK(entry.position > cursor);
  CHECK_FALSE(router.purges.delivered_to(kServer, entry.valid_since));
  CHECK(router.sent_after(cursor) == Targets{"d"});
  CHECK_FALSE(router.purges.delivered_to(kServer, entry.valid_since));
  CHECK(router.purges.delivery().unconfirmed(entry.position) == std::vector<int>{kServer});
  router.purges.delivery().confirmed(kServer, entry.position, router.scheduler.now());
  CHECK(router.purges.delivered_to(kServer, entry.valid_since));
}

TEST_CASE("a cursor past the end of the log confirms nothing") {
  const StoreFolder folder;
  Router router(folder.path);
  const auto position = router.purge("a").position;
  CHECK(router.sent_after(position + 1) == Targets{"a"});
  CHECK(router.sent_after(~std::uint64_t{}) == Targets{"a"});
  CHECK(router.sent_after(position).empty());
}

// A release that does not know the record of erased positions may have run in between.
TEST_CASE("stored purges whose positions were erased before are sent again, in their order") {
  PurgeRegistry purges(router_setup(), 1000);
  purges.restore_erased(40);
  for (std::uint64_t n = 1; n <= 3; ++n)
    purges.restore({{1000, 7, n}, PurgeKind::object, std::to_string(n), 1000, n}, 1000);
  purges.finish_restore();
  auto& delivery = purges.delivery();
  delivery.set_listed(kServer, true);
  delivery.cursor_reported(kServer, 40);
  for (const char* target : {"1", "2", "3"}) CHECK(delivery.next(1000)->entry->target == target);
  CHECK(purges.issue(PurgeKind::object, "4", 1001).position == 44);
}

TEST_CASE("cursors that cache servers kept for an earlier release are not taken over") {
  CHECK(replication::position_series("id") != "id");
  CHECK(replication::position_series("id") == replication::position_series("id"));
  CHECK(replication::position_series("id") != replication::position_series("other"));
}
