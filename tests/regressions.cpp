// Regression tests for single parts of the router: the guard's refusals, discovery's clock stamps, the
// ranking of endpoints, unsent attempts, the store on a full disk, slow discovery, and cancelled attempts.
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

guard::PlannedAttempt valid_attempt(Seconds deadline) {
  return {.endpoint = EndpointState::ready, .source = EndpointState::ready, .deadline = deadline};
}

}  // namespace

TEST_CASE("the guard refuses each step that would break an invariant, and counts and reports it") {
  using guard::Invariant;
  std::vector<std::pair<Invariant, std::uint64_t>> reports;
  guard::Guard guard([&](Invariant broken, std::uint64_t request) { reports.emplace_back(broken, request); });
  guard::RequestRecord at_most_once(7, {Idempotency::non_idempotent, 0}, 10),
      keyed(8, {Idempotency::with_key, 2}, 10), idempotent(9, {Idempotency::idempotent, 0}, 10);

  CHECK(guard.may_begin(at_most_once, valid_attempt(9), 1) == Invariant::none);
  CHECK(guard.may_begin(at_most_once, valid_attempt(9), 1) == Invariant::one_attempt_out);
  guard.attempt_ended(at_most_once, AttemptOutcome::rejected, 1);  // a rejected request has not run
  CHECK(guard.may_begin(at_most_once, valid_attempt(9), 1) == Invariant::none);
  guard.attempt_ended(at_most_once, AttemptOutcome::connection_broken, 1);
  CHECK(guard.may_begin(at_most_once, valid_attempt(8), 2) == Invariant::effect_once);
  CHECK(guard.may_reject(at_most_once) == Invariant::refusal_harmless);

  CHECK(guard.may_begin(keyed, valid_attempt(9), 1) == Invariant::none);
  guard.attempt_ended(keyed, AttemptOutcome::timed_out, 1);
  CHECK(guard.may_begin(keyed, valid_attempt(7), 2.9) == Invariant::none);
  guard.attempt_ended(keyed, AttemptOutcome::timed_out, 2.9);
  CHECK(guard.may_begin(keyed, valid_attempt(6), 3.1) == Invariant::effect_once);

  auto attempt = valid_attempt(9.2);
  CHECK(guard.may_begin(idempotent, attempt, 1) == Invariant::deadline_passed);
  attempt.deadline = 9, attempt.source = EndpointState::draining;
  CHECK(guard.may_begin(idempotent, attempt, 1) == Invariant::drain_kept);
  attempt.source = EndpointState::ready, attempt.connection_ended = true;
  CHECK(guard.may_begin(idempotent, attempt, 1) == Invariant::attempt_after_end);
  attempt.connection_ended = false;
  idempotent.purged(5);
  CHECK(guard.may_begin(idempotent, attempt, 1) == Invariant::purge_kept);
  attempt.valid_since = 5;
  CHECK(guard.may_begin(idempotent, attempt, 1) == Invariant::none);
  CHECK(guard.may_answer_not_modified(idempotent, "", "") == Invariant::copy_named);
  CHECK(guard.may_answer_not_modified(idempotent, "a", "a") == Invariant::none);
  CHECK(guard.may_answer(idempotent) == Invariant::none);
  CHECK(guard.may_answer(idempotent) == Invariant::answer_once);
  at_most_once.client_left();
  CHECK(guard.may_begin(at_most_once, valid_attempt(8), 2) == Invariant::attempt_after_leave);
  CHECK(guard.may_half_close(1, 0) == Invariant::close_idle_only);
  CHECK(guard.may_half_close(0, 0) == Invariant::none);
  CHECK(guard.may_report_ready(false, true) == Invariant::ready_when_serving);
  CHECK(guard.may_accept_request(false) == Invariant::attempt_after_end);

  CHECK(guard.violations() == reports.size());
  CHECK(guard.violations(Invariant::effect_once) == 2);
  CHECK(std::ranges::count(reports, std::pair(Invariant::effect_once, std::uint64_t{7})) == 1);
}

TEST_CASE("a stamp never makes a purge or a start earlier than it was, however the clocks differ or step") {
  const Seconds skew = GENERATE(-3600.0, -2.0, 0.0, 2.0, 3600.0);  // this router's clock minus discovery's
  const Seconds step = GENERATE(-3600.0, -3.0, 0.0, 3.0, 3600.0);  // step of discovery's clock, at 10 s
  CAPTURE(skew, step);
  std::mt19937 random(1);
  std::uniform_real_distribution<> delay(0.03, 0.4);
  net::DiscoveryClock clock;
  constexpr Seconds kEpoch = 1e9;
  const auto stamp = [&](Seconds at) { return kEpoch + at - skew + (at >= 10 ? step : 0); };
  clock.begin_initial_events(stamp(-1), 0);
  CHECK(clock.purged_at(stamp(-1), 0) >= -1);
  CHECK(clock.purged_at(stamp(-5), 0) >= -5 - 1e-6);
  CHECK(clock.started_at(1, stamp(-5), 0) >= -5 - 1e-6);
  clock.end_initial_events();
  for (Seconds at = 0.5; at < 20; at += 0.5) {
    const Seconds arrival = at + delay(random);
    clock.frame_received(arrival);
    CHECK(clock.purged_at(stamp(at), arrival) >= at);
    const int endpoint = 10 + static_cast<int>(at * 2);
    const Seconds start = clock.started_at(endpoint, stamp(at), arrival);
    // After a step back, which no bound can tell from a late event, a start may appear earlier by the size of
    // the step, at most 7.5 s.
    CHECK(start >= at - (step < 0 && at >= 10 ? std::min(-step, 7.5) : 0) - 1e-6);
    CHECK(start <= arrival);
    CHECK(clock.started_at(endpoint, stamp(at), arrival + 5) == start);
  }
}

TEST_CASE("the ranking of endpoints does not depend on how many places are requested") {
  std::mt19937_64 random(3);
  const bool weighted = GENERATE(false, true);
  routing::EndpointOrder order;
  for (int n = 0; n < 300; ++n) order.add(n, random(), weighted ? 0.5 + n % 4 : 1);
  for (int n = 0; n < 300; n += 7) order.remove(n);
  for (int object = 0; object < 50; ++object) {
    const auto hash = random();
    routing::EndpointOrder::Ranking first_places(order, hash), all(order, hash);
    std::vector<int> ranked;
    CHECK(all.at(order.all().size() - 1) >= 0);  // the last place first, which sorts all
    for (std::size_t place = 0; all.at(place) >= 0; ++place) ranked.push_back(all.at(place));
    REQUIRE(ranked.size() == order.all().size());
    for (std::size_t place = 0; place < 8; ++place) CHECK(first_places.at(place) == ranked[place]);
    std::ranges::sort(ranked);
    CHECK(std::ranges::adjacent_find(ranked) == ranked.end());
  }
}

TEST_CASE(
    "given a server that reads nothing, then attempts that stay in the outbox end as not sent in time") {
  constexpr int kAttempts = 300;
  constexpr std::size_t kBody = 48'000;
  Log log("regressions");
  Scheduler scheduler;
  Outbox outbox(scheduler, 64 << 20);
  const Fd listener = listen_on(Address{0x7f000001, 0});
  net::UpstreamPool upstream(scheduler, outbox, log, {8, 1000, 5, 60, true});
  const int server = upstream.endpoint_index("s-1");
  upstream.update_endpoint(server,
                           {0x7f000001, static_cast<std::uint16_t>(fakes::local_port(listener.get()))},
                           EndpointState::ready);
  const std::string body(kBody, 'x'), id = "00000000000000a0";
  std::vector<std::unique_ptr<net::Attempt>> attempts;
  const auto follow = [&](net::Attempt& attempt) -> Task {
    while (!attempt.ended()) {
      const bool changed = co_await attempt.wait();
      if (!changed) attempt.on_timer();
    }
  };
  const auto scenario = [&]() -> Task {
    for (int n = 0; n < kAttempts; ++n) {
      attempts.push_back(std::make_unique<net::Attempt>(
          scheduler, upstream,
          net::Attempt::Spec{server, server, static_cast<std::uint64_t>(n), id, body, "cls=page",
                             scheduler.now() + 30, kNoTime, true, true}));
      scheduler.start(follow(*attempts.back()));
    }
    Event pause(scheduler);
    co_await pause.wait(scheduler.now() + 0.5);
    scheduler.stop();
  };
  scheduler.start(scenario());
  scheduler.run();
  const auto unsent = std::ranges::count_if(
      attempts, [](auto& a) { return a->ended() && a->result().outcome == AttemptOutcome::not_sent; });
  // The kernel buffers some of the 14 MB; the attempts in its buffers may still be answered.
  CHECK(unsent > kAttempts / 4);
  CHECK(unsent < kAttempts);
  scheduler.drop_tasks();
}

TEST_CASE(
    "given a disk that is full for a while, then the store writes pending records once there is space") {
  const auto folder =
      std::filesystem::temp_directory_path() / ("walkpaddle-regressions-" + std::to_string(::getpid()));
  std::filesystem::create_directory(folder);
  ::signal(SIGXFSZ, SIG_IGN);
  rlimit before{};
  REQUIRE(::getrlimit(RLIMIT_FSIZE, &before) == 0);
  // A limit on the size of files simulates a full disk: writes beyond it fail with EFBIG.
  const auto limit_file_size = [&](rlim_t bytes) {
    const rlimit limit{bytes, before.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &limit) == 0);
  };
  const auto wait_until = [](auto&& holds) {
    for (int polls = 0; polls < 500 && !holds(); ++polls) ::usleep(10'000);
    return holds();
  };
  {
    store::Store store({folder.string(), 4});
    REQUIRE(store.put("first", "1", 1));
    REQUIRE(wait_until([&] { return store.durable_sequence() == 1; }));
    limit_file_size(std::filesystem::file_size(folder / "data.mdb"));
    REQUIRE(store.put("second", std::string(100'000, '2'), 2));
    CHECK(wait_until([&] { return store.failed(); }));
    CHECK(store.durable_sequence() == 1);
    limit_file_size(before.rlim_cur);
    CHECK(wait_until([&] { return store.durable_sequence() == 2; }));
    CHECK_FALSE(store.failed());
    REQUIRE(store.put("third", "3", 3));
  }
  std::map<std::string, std::size_t> stored;
  store::Store reopened({folder.string(), 4});
  reopened.for_each(
      [&](std::string_view key, std::string_view value) { stored[std::string(key)] = value.size(); });
  CHECK(stored == std::map<std::string, std::size_t>{{"first", 1}, {"second", 100'000}, {"third", 1}});
  std::filesystem::remove_all(folder);
}

TEST_CASE("given discovery on a slow link, then a whole list of 3,200 endpoints is received in one watch") {
  constexpr int kEndpoints = 3200;
  constexpr std::size_t kChunkBytes = 1200;
  constexpr Seconds kChunkInterval = 0.05;  // 24,000 bytes a second: the list takes about 3.6 s
  Log log("regressions");
  Scheduler scheduler;
  Outbox outbox(scheduler, 64 << 20);
  const Fd listener = listen_on(Address{0x7f000001, 0});
  const Address address{0x7f000001, static_cast<std::uint16_t>(fakes::local_port(listener.get()))};
  const auto config = config::parse_platform_config(platform_config_json("n0", 1, address.port, "", "{}"));
  purge::PurgeRegistry purges({}, scheduler.now());
  net::RequestDispatcher dispatcher(scheduler, 7, config.settings, purges);
  net::UpstreamPool upstream(scheduler, outbox, log, {8, 32, 1, 60, true});
  net::DiscoveryClient discovery(scheduler, outbox, log, dispatcher, upstream);
  std::string records;
  for (int n = 0; n < kEndpoints; ++n)
    records += fakes::endpoint_record(static_cast<std::uint64_t>(n), 9, fakes::AnnouncedState::ready, 1, 0);
  const auto frame = fakes::discovery_frame(1, 1, records);
  int watches = 0;
  const auto scenario = [&]() -> Task {
    Event pause(scheduler);
    discovery.follow(address);
    Fd watch;
    std::size_t bytes_sent = 0;
    const Seconds began = scheduler.now();
    while (upstream.endpoint_count() < kEndpoints && scheduler.now() < began + 9) {
      if (Fd fd{::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK)})
        watch = std::move(fd), bytes_sent = 0, ++watches;
      if (watch && bytes_sent < frame.size()) {
        const auto chunk = std::min(kChunkBytes, frame.size() - bytes_sent);
        if (::send(watch.get(), frame.data() + bytes_sent, chunk, MSG_NOSIGNAL) > 0) bytes_sent += chunk;
      }
      co_await pause.wait(scheduler.now() + kChunkInterval);
    }
    scheduler.stop();
  };
  scheduler.start(scenario());
  scheduler.run();
  CHECK(upstream.endpoint_count() == kEndpoints);
  CHECK(watches == 1);
  scheduler.drop_tasks();
}

TEST_CASE("given a cancelled attempt without any answer, then its connection is closed") {
  Log log("regressions");
  Scheduler scheduler;
  Outbox outbox(scheduler, 64 << 20);
  const Fd listener = listen_on(Address{0x7f000001, 0});
  net::UpstreamPool upstream(scheduler, outbox, log, {8, 32, 5, 60, true});
  const int server = upstream.endpoint_index("s-1");
  upstream.update_endpoint(server,
                           {0x7f000001, static_cast<std::uint16_t>(fakes::local_port(listener.get()))},
                           EndpointState::ready);
  const std::string id = "00000000000000a0";
  bool ended = false;
  const auto scenario = [&]() -> Task {
    Event pause(scheduler);
    net::Attempt attempt(scheduler, upstream,
                         net::Attempt::Spec{server, server, 0xa0, id, "", "cls=page", scheduler.now() + 30,
                                            kNoTime, true, true});
    co_await pause.wait(scheduler.now() + 0.2);
    const Fd accepted(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK));
    attempt.cancel();
    while (!attempt.ended()) {
      const bool changed = co_await attempt.wait();
      if (!changed) attempt.on_timer();
    }
    co_await pause.wait(scheduler.now() + 0.1);
    char buffer[4096];
    ssize_t got = 0;
    while ((got = ::recv(accepted.get(), buffer, sizeof buffer, 0)) > 0) continue;
    ended = got == 0;
    scheduler.stop();
  };
  scheduler.start(scenario());
  scheduler.run();
  CHECK(ended);
  scheduler.drop_tasks();
}
