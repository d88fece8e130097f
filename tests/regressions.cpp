// What the fault hunt found or refuted, part by part: the guard's answers, stamps on our clock, the order of
// endpoints, attempts that wait in our own buffer.
#define CATCH_CONFIG_MAIN
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "config/platform_config.h"
#include "fakes/discovery_frames.h"
#include "fakes/servers.h"
#include "guard/guard.h"
#include "net/discovery_client.h"
#include "net/discovery_clock.h"
#include "net/upstream_pool.h"
#include "platform.h"
#include "purge/purge_registry.h"
#include "routing/endpoint_order.h"
#include "store/store.h"

using namespace walkpaddle;

namespace {

guard::PlannedAttempt good_attempt(Seconds deadline) {
  return {.endpoint = EndpointState::ready, .source = EndpointState::ready, .deadline = deadline};
}

}  // namespace

TEST_CASE("the guard refuses each step that would break a promise, and counts and reports it") {
  using guard::Invariant;
  std::vector<std::pair<Invariant, std::uint64_t>> reports;
  guard::Guard guard([&](Invariant broken, std::uint64_t request) { reports.emplace_back(broken, request); });
  guard::RequestRecord once(7, {Idempotency::non_idempotent, 0}, 10),
      keyed(8, {Idempotency::with_key, 2}, 10), free(9, {Idempotency::idempotent, 0}, 10);

  CHECK(guard.may_begin(once, good_attempt(9), 1) == Invariant::none);
  CHECK(guard.may_begin(once, good_attempt(9), 1) == Invariant::one_attempt_out);
  guard.attempt_ended(once, AttemptOutcome::rejected, 1);  // proves that it never ran
  CHECK(guard.may_begin(once, good_attempt(9), 1) == Invariant::none);
  guard.attempt_ended(once, AttemptOutcome::connection_broken, 1);
  CHECK(guard.may_begin(once, good_attempt(8), 2) == Invariant::effect_once);
  CHECK(guard.may_reject(once) == Invariant::refusal_harmless);

  CHECK(guard.may_begin(keyed, good_attempt(9), 1) == Invariant::none);
  guard.attempt_ended(keyed, AttemptOutcome::timed_out, 1);
  CHECK(guard.may_begin(keyed, good_attempt(7), 2.9) == Invariant::none);
  guard.attempt_ended(keyed, AttemptOutcome::timed_out, 2.9);
  CHECK(guard.may_begin(keyed, good_attempt(6), 3.1) == Invariant::effect_once);

  auto attempt = good_attempt(9.2);
  CHECK(guard.may_begin(free, attempt, 1) == Invariant::deadline_passed);
  attempt.deadline = 9, attempt.source = EndpointState::draining;
  CHECK(guard.may_begin(free, attempt, 1) == Invariant::drain_kept);
  attempt.source = EndpointState::ready, attempt.connection_ended = true;
  CHECK(guard.may_begin(free, attempt, 1) == Invariant::attempt_after_end);
  attempt.connection_ended = false;
  free.purged(5);
  CHECK(guard.may_begin(free, attempt, 1) == Invariant::purge_kept);
  attempt.valid_since = 5;
  CHECK(guard.may_begin(free, attempt, 1) == Invariant::none);
  CHECK(guard.may_answer_not_modified(free, "", "") == Invariant::copy_named);
  CHECK(guard.may_answer_not_modified(free, "a", "a") == Invariant::none);
  CHECK(guard.may_answer(free) == Invariant::none);
  CHECK(guard.may_answer(free) == Invariant::answer_once);
  once.client_left();
  CHECK(guard.may_begin(once, good_attempt(8), 2) == Invariant::attempt_after_leave);
  CHECK(guard.may_half_close(1, 0) == Invariant::close_idle_only);
  CHECK(guard.may_half_close(0, 0) == Invariant::none);
  CHECK(guard.may_report_ready(false, true) == Invariant::ready_when_serving);
  CHECK(guard.may_accept_request(false) == Invariant::attempt_after_end);

  CHECK(guard.violations() == reports.size());
  CHECK(guard.violations(Invariant::effect_once) == 2);
  CHECK(std::ranges::count(reports, std::pair(Invariant::effect_once, std::uint64_t{7})) == 1);
}

TEST_CASE(
    "a stamp never makes a purge older or a start earlier than it was, however the clocks differ or step") {
  const Seconds skew = GENERATE(-3600.0, -2.0, 0.0, 2.0, 3600.0);  // our clock less discovery's
  const Seconds step = GENERATE(-3600.0, -3.0, 0.0, 3.0, 3600.0);  // of discovery's, at 10
  CAPTURE(skew, step);
  std::mt19937 chance(1);
  std::uniform_real_distribution<> late(0.03, 0.4);
  net::DiscoveryClock clock;
  constexpr Seconds kEpoch = 1e9;
  const auto stamp = [&](Seconds at) { return kEpoch + at - skew + (at >= 10 ? step : 0); };
  clock.begin_initial_events(stamp(-1), 0);
  CHECK(clock.purged_at(stamp(-1), 0) >= -1);
  CHECK(clock.purged_at(stamp(-5), 0) >= -5 - 1e-6);
  CHECK(clock.started_at(1, stamp(-5), 0) >= -5 - 1e-6);
  clock.end_initial_events();
  for (Seconds at = 0.5; at < 20; at += 0.5) {
    const Seconds arrival = at + late(chance);
    clock.frame_received(arrival);
    CHECK(clock.purged_at(stamp(at), arrival) >= at);
    const int member = 10 + static_cast<int>(at * 2);
    const Seconds start = clock.started_at(member, stamp(at), arrival);
    // After a step back of seconds, which no bound can tell from a late event, a start may look as much
    // earlier.
    CHECK(start >= at - (step < 0 && at >= 10 ? std::min(-step, 7.5) : 0) - 1e-6);
    CHECK(start <= arrival);
    CHECK(clock.started_at(member, stamp(at), arrival + 5) == start);
  }
}

TEST_CASE("the order of endpoints is that of all their costs sorted, however far it is asked") {
  std::mt19937_64 chance(3);
  const bool weighted = GENERATE(false, true);
  routing::EndpointOrder order;
  for (int n = 0; n < 300; ++n) order.add(n, chance(), weighted ? 0.5 + n % 4 : 1);
  for (int n = 0; n < 300; n += 7) order.remove(n);
  for (int object = 0; object < 50; ++object) {
    const auto hash = chance();
    routing::EndpointOrder::Ranking few(order, hash), all(order, hash);
    std::vector<int> ranked;
    CHECK(all.at(order.all().size() - 1) >= 0);  // asked for the last first: all are ranked
    for (std::size_t place = 0; all.at(place) >= 0; ++place) ranked.push_back(all.at(place));
    REQUIRE(ranked.size() == order.all().size());
    for (std::size_t place = 0; place < 8; ++place) CHECK(few.at(place) == ranked[place]);
    std::ranges::sort(ranked);
    CHECK(std::ranges::adjacent_find(ranked) == ranked.end());
  }
}

TEST_CASE("given a server that reads nothing, then attempts that never leave our buffer end unsent in time") {
  constexpr int kAttempts = 300;
  constexpr std::size_t kBody = 48'000;
  Log log("hunt");
  Scheduler scheduler;
  Outbox outbox(scheduler, 64 << 20);
  const Fd ear = listen_on(Address{0x7f000001, 0});
  net::UpstreamPool caches(scheduler, outbox, log, {8, 1000, 5, 60, true});
  const int server = caches.endpoint_index("s-1");
  caches.update_endpoint(server, {0x7f000001, static_cast<std::uint16_t>(fakes::local_port(ear.get()))},
                         EndpointState::ready);
  const std::string body(kBody, 'x'), id = "00000000000000a0";
  std::vector<std::unique_ptr<net::Attempt>> attempts;
  const auto follow = [&](net::Attempt& attempt) -> Task {
    while (!attempt.ended()) {
      const bool told = co_await attempt.wait();
      if (!told) attempt.on_timer();
    }
  };
  const auto story = [&]() -> Task {
    for (int n = 0; n < kAttempts; ++n) {
      attempts.push_back(std::make_unique<net::Attempt>(
          scheduler, caches,
          net::Attempt::Spec{server, server, static_cast<std::uint64_t>(n), id, body, "cls=page",
                             scheduler.now() + 30, kNoTime, true, true}));
      scheduler.start(follow(*attempts.back()));
    }
    Event pause(scheduler);
    co_await pause.wait(scheduler.now() + 0.5);
    scheduler.stop();
  };
  scheduler.start(story());
  scheduler.run();
  const auto unsent = std::ranges::count_if(
      attempts, [](auto& a) { return a->ended() && a->result().outcome == AttemptOutcome::not_sent; });
  // The kernel takes some megabytes of the 14; what it took may still be answered.
  CHECK(unsent > kAttempts / 4);
  CHECK(unsent < kAttempts);
  scheduler.drop_tasks();
}

TEST_CASE(
    "given a disk that takes nothing for a while, then what was handed to the store is written after it") {
  const auto folder =
      std::filesystem::temp_directory_path() / ("walkpaddle-hunt-" + std::to_string(::getpid()));
  std::filesystem::create_directory(folder);
  ::signal(SIGXFSZ, SIG_IGN);
  rlimit before{};
  REQUIRE(::getrlimit(RLIMIT_FSIZE, &before) == 0);
  // A bound on files stands in for a full disk: writes past it fail with EFBIG.
  const auto bound = [&](rlim_t bytes) {
    const rlimit limit{bytes, before.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &limit) == 0);
  };
  const auto until = [](auto&& what) {
    for (int looks = 0; looks < 500 && !what(); ++looks) ::usleep(10'000);
    return what();
  };
  {
    store::Store store({folder.string(), 4});
    REQUIRE(store.put("first", "1", 1));
    REQUIRE(until([&] { return store.durable_sequence() == 1; }));
    bound(std::filesystem::file_size(folder / "data.mdb"));
    REQUIRE(store.put("second", std::string(100'000, '2'), 2));
    CHECK(until([&] { return store.failed(); }));
    CHECK(store.durable_sequence() == 1);
    bound(before.rlim_cur);
    CHECK(until([&] { return store.durable_sequence() == 2; }));
    CHECK_FALSE(store.failed());
    REQUIRE(store.put("third", "3", 3));
  }
  std::map<std::string, std::size_t> held;
  store::Store again({folder.string(), 4});
  again.for_each(
      [&](std::string_view key, std::string_view value) { held[std::string(key)] = value.size(); });
  CHECK(held == std::map<std::string, std::size_t>{{"first", 1}, {"second", 100'000}, {"third", 1}});
  std::filesystem::remove_all(folder);
}

TEST_CASE("given discovery on a slow line, then a whole list of 3,200 is followed over one watch") {
  constexpr int kMembers = 3200;
  constexpr std::size_t kPiece = 1200;
  constexpr Seconds kBetween = 0.05;  // 24,000 bytes a second: the list takes 3.6 s
  Log log("hunt");
  Scheduler scheduler;
  Outbox outbox(scheduler, 64 << 20);
  const Fd ear = listen_on(Address{0x7f000001, 0});
  const Address address{0x7f000001, static_cast<std::uint16_t>(fakes::local_port(ear.get()))};
  const auto config = config::parse_platform_config(config_text("n0", 1, address.port, "", "{}"));
  purge::PurgeRegistry purges({}, scheduler.now());
  net::RequestDispatcher dispatcher(scheduler, 7, config.settings, purges);
  net::UpstreamPool caches(scheduler, outbox, log, {8, 32, 1, 60, true});
  net::DiscoveryClient list(scheduler, outbox, log, dispatcher, caches);
  std::string records;
  for (int n = 0; n < kMembers; ++n)
    records += fakes::endpoint_record(static_cast<std::uint64_t>(n), 9, fakes::AnnouncedState::ready, 1, 0);
  const auto frame = fakes::discovery_frame(1, 1, records);
  int watches = 0;
  const auto story = [&]() -> Task {
    Event pause(scheduler);
    list.follow(address);
    Fd watch;
    std::size_t told = 0;
    const Seconds began = scheduler.now();
    while (caches.endpoint_count() < kMembers && scheduler.now() < began + 9) {
      if (Fd fd{::accept4(ear.get(), nullptr, nullptr, SOCK_NONBLOCK)})
        watch = std::move(fd), told = 0, ++watches;
      if (watch && told < frame.size()) {
        const auto piece = std::min(kPiece, frame.size() - told);
        if (::send(watch.get(), frame.data() + told, piece, MSG_NOSIGNAL) > 0) told += piece;
      }
      co_await pause.wait(scheduler.now() + kBetween);
    }
    scheduler.stop();
  };
  scheduler.start(story());
  scheduler.run();
  CHECK(caches.endpoint_count() == kMembers);
  CHECK(watches == 1);
  scheduler.drop_tasks();
}

TEST_CASE(
    "given an attempt called off with nothing heard, then its connection ends, and the server gives it up") {
  Log log("hunt");
  Scheduler scheduler;
  Outbox outbox(scheduler, 64 << 20);
  const Fd ear = listen_on(Address{0x7f000001, 0});
  net::UpstreamPool caches(scheduler, outbox, log, {8, 32, 5, 60, true});
  const int server = caches.endpoint_index("s-1");
  caches.update_endpoint(server, {0x7f000001, static_cast<std::uint16_t>(fakes::local_port(ear.get()))},
                         EndpointState::ready);
  const std::string id = "00000000000000a0";
  bool ended = false;
  const auto story = [&]() -> Task {
    Event pause(scheduler);
    net::Attempt attempt(scheduler, caches,
                         net::Attempt::Spec{server, server, 0xa0, id, "", "cls=page", scheduler.now() + 30,
                                            kNoTime, true, true});
    co_await pause.wait(scheduler.now() + 0.2);
    const Fd accepted(::accept4(ear.get(), nullptr, nullptr, SOCK_NONBLOCK));
    attempt.cancel();
    while (!attempt.ended()) {
      const bool told = co_await attempt.wait();
      if (!told) attempt.on_timer();
    }
    co_await pause.wait(scheduler.now() + 0.1);
    char room[4096];
    ssize_t got = 0;
    while ((got = ::recv(accepted.get(), room, sizeof room, 0)) > 0) continue;
    ended = got == 0;
    scheduler.stop();
  };
  scheduler.start(story());
  scheduler.run();
  CHECK(ended);
  scheduler.drop_tasks();
}
