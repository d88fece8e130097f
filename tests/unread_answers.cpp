// Many large answers under a small memory limit: a router as a process, clients that ask for many objects at
// once and read them at a rate, and some that read nothing. Every request of a client that reads is answered
// in time, and the peak memory stays under the limit. WALKPADDLE is the path of the program.
//
// WALKPADDLE_SEED and WALKPADDLE_PLAYS choose the drawn plays, which are printed.
#define CATCH_CONFIG_MAIN
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>

#include "base/text.h"
#include "deployment.h"

using namespace walkpaddle;

namespace {

constexpr Seconds kAllowedLateness = 0.55;  // past its time a request is lost (protocol page, "The rules")
constexpr double kMegabyte = 1e6;

struct Play {
  int memory_mb = 32;
  int readers = 4;
  int stalled = 0;                // clients that send requests and read nothing
  int requests = 32;              // of each client, all at once
  std::size_t bytes = 240'000;    // of each object
  double rate = 3.9 * kMegabyte;  // at which each reader reads, in bytes per second
  Seconds limit = 5;              // of each request
  Seconds sigterm_after = -1;     // < 0: none
  // Whether the readers can have all answers in time, with room for a wait until stalled clients are closed.
  bool all_can_be_served() const {
    const Seconds reading = requests * static_cast<double>(bytes) / rate;
    return sigterm_after < 0 && reading + (stalled > 0 ? 2 : 0) < limit * 0.8;
  }
  std::string text() const {
    return fmt::format(
        "{} MB, {} readers at {:.1f} MB/s, {} stalled, {} requests of {} bytes each, limit {:.1f} s, "
        "SIGTERM after {:.2f} s",
        memory_mb, readers, rate / kMegabyte, stalled, requests, bytes, limit, sigterm_after);
  }
};

// A client that sends all its requests at once and reads at a rate.
struct Client {
  Client(const Program& router, int number, const Play& play) : fd(router.connect_client()) {
    REQUIRE(fd);
    const int receive_buffer = 65536;  // as for a line of this rate
    ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    std::string text;
    for (int tag = 1; tag <= play.requests; ++tag)
      text += net::resp_array_text({"EXEC", std::to_string(tag), "page",
                                    fmt::format("txn={:016x},limit={:.0f},item={:016x},seg=0,bucket=17",
                                                (number + 1) * 1000 + tag, play.limit * 1e3, tag)});
    REQUIRE(::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    ::fcntl(fd.get(), F_SETFL, O_NONBLOCK);
    sent_at = now();
  }
  // Reads what the line has brought until now.
  void read(double rate) {
    constexpr Seconds kMaxBurst = 0.02;
    last_read_at = std::max(last_read_at, now() - kMaxBurst);
    char buffer[16384];
    while (!ended && last_read_at < now()) {
      const auto got = ::recv(fd.get(), buffer, sizeof buffer, 0);
      if (got < 0 && errno == EAGAIN) return;
      ended = got <= 0;
      if (ended) return;
      last_read_at += static_cast<double>(got) / rate;
      in.append(buffer, static_cast<std::size_t>(got));
      take_answers();
    }
  }
  void take_answers() {
    net::RespArray answer;
    for (;;) {
      net::read_resp_array(in, 8, 1 << 20, answer);
      if (answer.used == 0) return;
      ++answers;
      served += answer.words[1] == "RESULT";
      last_answer_after = now() - sent_at;
      in.erase(0, answer.used);
    }
  }
  Fd fd;
  Seconds sent_at = 0, last_read_at = 0, last_answer_after = 0;
  std::string in;
  int answers = 0, served = 0;
  bool ended = false;
};

struct Result {
  int requests = 0, unanswered = 0, served = 0;
  Seconds last_answer_after = 0;
  double memory_mb = 0;
  bool signalled = false;  // the router was told to end
  int exit_status = 0;
  std::string log;
};

Task play_clients(Scheduler& scheduler, const Play& play, const Program& router, Result& result) {
  constexpr Seconds kPollInterval = 0.002;
  std::vector<std::unique_ptr<Client>> stalled, readers;
  for (int n = 0; n < play.stalled; ++n) stalled.push_back(std::make_unique<Client>(router, 100 + n, play));
  for (int n = 0; n < play.readers; ++n) readers.push_back(std::make_unique<Client>(router, n, play));
  const Seconds began = now();
  Event poll(scheduler);
  const auto is_done = [&](const auto& c) { return c->ended || c->answers == play.requests; };
  while (now() < began + play.limit + 2 && !std::ranges::all_of(readers, is_done)) {
    for (const auto& client : readers) client->read(play.rate);
    result.memory_mb = std::max(result.memory_mb, peak_memory_mb(router.pid));
    if (!result.signalled && play.sigterm_after >= 0 && now() >= began + play.sigterm_after) {
      ::kill(router.pid, SIGTERM);
      result.signalled = true;
    }
    co_await poll.wait(scheduler.now() + kPollInterval);
  }
  for (const auto& client : readers) {
    result.requests += play.requests;
    result.unanswered += play.requests - client->answers;
    result.served += client->served;
    result.last_answer_after = std::max(result.last_answer_after, client->last_answer_after);
  }
  scheduler.stop();
}

Result run(const Play& play) {
  Scheduler scheduler;
  Outbox outbox(scheduler, std::size_t{1} << 30);
  std::vector<std::unique_ptr<CacheServer>> servers;
  std::string endpoints;
  for (int n = 0; n < 4; ++n) {
    servers.push_back(std::make_unique<CacheServer>(scheduler, outbox, play.bytes));
    endpoints += endpoint_json(fmt::format("s-{:08x}", n), servers.back()->port(), "edge", "cache") + ",";
  }
  endpoints += endpoint_json("s-00000099", servers.back()->port(), "hub", "origin");
  fakes::Ports ports;
  const int port = ports.take();
  Program router("unread",
                 platform_config_json("n0", port, 0, endpoints,
                                      fmt::format(R"({{"sockets":512,"memory_mb":{}}})", play.memory_mb)),
                 port);
  for (const Seconds until = now() + 10; !router.ready() && now() < until;) ::usleep(10'000);
  Result result;
  scheduler.start(play_clients(scheduler, play, router, result));
  scheduler.run();
  scheduler.drop_tasks();
  if (!result.signalled) ::kill(router.pid, SIGTERM);
  ::waitpid(router.pid, &result.exit_status, 0);
  router.pid = -1;
  std::ifstream log(router.folder / "log");
  result.log.assign(std::istreambuf_iterator<char>(log), {});
  return result;
}

void check(const Play& play) {
  INFO(play.text());
  const auto result = run(play);
  constexpr std::size_t kShownBytes = 3000;  // of the log: its end has the counters
  INFO(result.log.substr(result.log.size() - std::min(result.log.size(), kShownBytes)));
  CAPTURE(result.requests, result.served, result.last_answer_after, result.memory_mb);
  CHECK(result.unanswered == 0);
  CHECK(result.last_answer_after <= play.limit + kAllowedLateness);
  CHECK(result.memory_mb <= play.memory_mb);
  CHECK(result.exit_status == 0);
  if (play.all_can_be_served()) CHECK(result.served == result.requests);
}

Play draw(std::mt19937& random) {
  const auto pick = [&random](auto... values) {
    const std::common_type_t<decltype(values)...> all[] = {values...};
    return all[std::uniform_int_distribution<std::size_t>(0, sizeof...(values) - 1)(random)];
  };
  Play play;
  play.memory_mb = pick(32, 40, 64, 192);
  play.readers = std::uniform_int_distribution<int>(1, 16)(random);
  play.stalled = pick(0, 0, 1, 4, 16);
  play.requests = pick(1, 4, 16, 32);
  play.bytes = pick(2'000UL, 30'000UL, 120'000UL, 240'000UL);
  play.rate = pick(0.6, 1.0, 3.9, 10.0) * kMegabyte;
  play.limit = pick(3, 5);
  play.sigterm_after = pick(-1.0, -1.0, 0.1, 0.8);
  return play;
}

}  // namespace

// Prevents that the connections of clients that read are ended because their answers together exceed a share
// of the memory.
TEST_CASE("given 32 MB, when clients that read ask for many large objects at once, then all are served") {
  check({});
  check({.readers = 1});
  check({.readers = 16, .rate = 10 * kMegabyte});
}

// Prevents that clients that stop reading take the memory for the answers of those that read.
TEST_CASE("given clients that read nothing, when others ask for large objects, then these are served") {
  check({.readers = 2, .stalled = 1});
  check({.readers = 2, .stalled = 14});
}

// Prevents that requests wait for a slow client's turn until their time has passed.
TEST_CASE("given clients that read slowly, when their time is short, then each request has its answer") {
  check({.readers = 4, .rate = 0.6 * kMegabyte});
  check({.readers = 4, .rate = 1 * kMegabyte, .limit = 3});
}

// Prevents that a shutdown loses the requests whose answers are unsent or not started.
TEST_CASE("given unsent answers, when the router is told to end, then each request has its answer") {
  check({.sigterm_after = 0.1});
  check({.readers = 8, .rate = 1 * kMegabyte, .sigterm_after = 0.5});
}

TEST_CASE("drawn plays") {
  const int seed = environment_number("WALKPADDLE_SEED", 52);
  const int plays = environment_number("WALKPADDLE_PLAYS", 12);
  for (int n = 0; n < plays; ++n) {
    std::mt19937 random(static_cast<unsigned>(seed + n));
    const Play play = draw(random);
    fmt::print("seed {}: {}\n", seed + n, play.text());
    check(play);
  }
}
