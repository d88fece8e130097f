// Hundreds of clients that take memory from a router as a process: with messages that they do not finish,
// with buffers that outlive their message, with open requests, with answers that they do not read. The memory
// stays under the platform's limit, and clients that keep to the protocol are served. WALKPADDLE is the path
// of the program.
#define CATCH_CONFIG_MAIN
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "deployment.h"
#include "orderly_client.h"

using namespace walkpaddle;

namespace {

constexpr double kLimitMb = 32;  // the least that the platform's pages name
constexpr std::size_t kObjectBytes = 1000;
constexpr std::size_t kWriteBytes = 48'000;  // the largest (protocol page)
constexpr Seconds kPollInterval = 0.005;

std::string request_fields(std::mt19937_64& random, int limit_ms) {
  return fmt::format("txn={:016x},limit={},item={:016x},seg=0,bucket=17", random(), limit_ms, random());
}

// What the clients of a crowd do.
struct Behaviour {
  // What the next client writes after it has connected.
  std::function<std::string(std::mt19937_64&)> message;
  bool sends_again = false;  // when it has written all
  bool reads = true;         // what comes
};

// Many clients at once; one whose connection has ended connects again.
class Crowd {
 public:
  Crowd(const Program& router, int clients, Behaviour behaviour)
      : router_(router), behaviour_(std::move(behaviour)), clients_(static_cast<std::size_t>(clients)) {}

  // Connects some clients, and writes for all what the sockets take.
  void step() {
    constexpr int kConnectsPerStep = 10;  // 2,000 a second
    int connects = 0;
    for (auto& client : clients_) {
      if (!client.fd && connects < kConnectsPerStep) {
        ++connects;
        client = {router_.connect_client(), behaviour_.message(random_)};
        if (client.fd) ::fcntl(client.fd.get(), F_SETFL, O_NONBLOCK);
      }
      if (client.fd && client.unsent.empty() && behaviour_.sends_again)
        client.unsent = behaviour_.message(random_);
      if (client.fd) write(client);
    }
  }
  void leave() { clients_.clear(); }

 private:
  struct Client {
    Fd fd;
    std::string unsent;
  };
  void write(Client& client) const {
    const auto got = client.unsent.empty()
                         ? 0
                         : ::send(client.fd.get(), client.unsent.data(), client.unsent.size(), MSG_NOSIGNAL);
    if (got > 0) client.unsent.erase(0, static_cast<std::size_t>(got));
    const bool failed = got < 0 && errno != EAGAIN;
    char answers[65536];
    const auto seen = ::recv(client.fd.get(), answers, sizeof answers, behaviour_.reads ? 0 : MSG_PEEK);
    if (failed || seen == 0 || (seen < 0 && errno != EAGAIN)) client = {};
  }

  const Program& router_;
  const Behaviour behaviour_;
  std::mt19937_64 random_{60};
  std::vector<Client> clients_;
};

struct Outcome {
  double memory_mb = 0;
  bool ended_early = false;
  int exit_status = -1;
  Seconds shutdown = 0;  // from SIGTERM to the end
  std::vector<OrderlyClient::Counts> clients;
  std::string log;
};

constexpr int kClients = 700;  // more than there are places
const OrderlyClient::Setup kReader{};
const OrderlyClient::Setup kWriter{
    .request_class = "order", .body_bytes = kWriteBytes, .limit = 3, .interval = 0.1};
const OrderlyClient::Setup kNewcomer{.interval = 0.05, .new_connections = true};

enum class Servers { answer, fall_silent };

// Plays a crowd for a time beside clients that keep to the protocol. Servers may fall silent when it comes.
Outcome play(Behaviour behaviour, Servers servers = Servers::answer,
             std::size_t object_bytes = kObjectBytes) {
  constexpr Seconds kDuration = 4, kCrowdComes = 0.5;
  Deployment deployment(R"({"sockets":1024,"memory_mb":32})", object_bytes);
  for (const auto& server : deployment.servers) server->set_answer_time(0.005);
  const pid_t pid = deployment.router->pid;
  Outcome outcome;
  std::vector<std::unique_ptr<OrderlyClient>> clients;
  for (const auto& setup : {kReader, kReader, kWriter, kNewcomer})
    clients.push_back(
        std::make_unique<OrderlyClient>(*deployment.router, static_cast<int>(clients.size()), setup));
  Crowd crowd(*deployment.router, kClients, std::move(behaviour));
  const auto scenario = [&]() -> Task {
    Event poll(deployment.scheduler);
    for (const Seconds began = now(); now() < began + kDuration;) {
      const bool crowd_is_here = now() >= began + kCrowdComes;
      if (crowd_is_here) crowd.step();
      for (const auto& server : deployment.servers)
        server->set_silent(crowd_is_here && servers == Servers::fall_silent);
      for (const auto& client : clients) client->step();
      outcome.memory_mb = std::max(outcome.memory_mb, peak_memory_mb(pid));
      outcome.ended_early = outcome.ended_early || ::waitpid(pid, nullptr, WNOHANG) != 0;
      if (outcome.ended_early) break;
      co_await poll.wait(deployment.scheduler.now() + kPollInterval);
    }
    for (const auto& client : clients) client->finish();
    const auto is_idle = [](const auto& client) { return client->is_idle(); };
    for (const Seconds until = now() + 4; now() < until && !std::ranges::all_of(clients, is_idle);) {
      for (const auto& client : clients) client->step();
      co_await poll.wait(deployment.scheduler.now() + kPollInterval);
    }
    deployment.scheduler.stop();
  };
  deployment.scheduler.start(scenario());
  deployment.scheduler.run();
  const Seconds signalled_at = now();
  outcome.exit_status = deployment.end_router();
  outcome.shutdown = now() - signalled_at;
  for (const auto& client : clients) outcome.clients.push_back(client->counts());
  outcome.log = deployment.log();
  return outcome;
}

// What holds beside any crowd.
void check(const Outcome& outcome) {
  constexpr Seconds kKilledAfter = 3.7;      // SIGTERM to SIGKILL with these deadlines (protocol page)
  constexpr std::size_t kShownBytes = 3000;  // of the log: its end has the counters
  INFO(outcome.log.substr(outcome.log.size() - std::min(outcome.log.size(), kShownBytes)));
  CHECK_FALSE(outcome.ended_early);
  CHECK(outcome.memory_mb <= kLimitMb);
  CHECK(outcome.exit_status == 0);
  CHECK(outcome.shutdown < kKilledAfter);
  for (const auto& client : outcome.clients) {
    CAPTURE(client.sent, client.served, client.rejected, client.failed, client.closed_unread, client.slowest);
    CHECK(client.lost == 0);
  }
}

// The same, where servers answer and the crowd asks for nothing: most of the others' requests are served.
void check_served(const Outcome& outcome) {
  check(outcome);
  for (const auto& client : outcome.clients) {
    CAPTURE(client.sent, client.served, client.rejected, client.failed, client.closed_unread, client.slowest);
    CHECK(client.served >= client.sent / 2);
  }
}

}  // namespace

// Prevents that a crowd of clients that stop within a large message takes the process past its memory limit.
TEST_CASE("given a crowd that stops half way through writes", "[unfinished_write]") {
  check_served(play({.message = [](std::mt19937_64& random) {
    const auto message = net::resp_array_text(
        {"EXEC", "1", "order", request_fields(random, 1500), std::string(kWriteBytes, 's')});
    return message.substr(0, std::uniform_int_distribution<std::size_t>(40'000, 47'500)(random));
  }}));
}

// Prevents the same with heads of very many short fields, and with very many bytes in several strings.
TEST_CASE("given a crowd that stops within heads of many fields", "[unfinished_fields]") {
  check_served(play({.message = [](std::mt19937_64& random) {
    auto fields = request_fields(random, 1500);
    while (fields.size() < 64'000) fields += fmt::format(",a{}=b", fields.size());
    auto message = net::resp_array_text({"EXEC", "1", "page", fields});
    return message.substr(0, message.size() - 20);
  }}));
}

// Prevents that buffers which have grown for a large message stay allocated while its client is idle.
TEST_CASE("given a crowd that sends a large write and stays connected", "[idle_writers]") {
  check_served(play({.message = [](std::mt19937_64& random) {
    return net::resp_array_text(
        {"EXEC", "1", "order", request_fields(random, 3000), std::string(kWriteBytes, 's')});
  }}));
}

// Prevents that buffers which never run empty grow with what has passed through them.
TEST_CASE("given a crowd that sends without a pause", "[restless]") {
  const auto message = [](std::mt19937_64&) {
    std::string messages;
    for (int tag = 1; tag <= 200; ++tag)
      messages += net::resp_array_text({"EXEC", std::to_string(tag), "page", "txn=zz"});
    return messages;
  };
  check(play({.message = message, .sends_again = true}));
}

namespace {

// As many requests as a client may have open.
std::string requests_text(std::mt19937_64& random, const std::string& request_class) {
  constexpr int kMaxOpen = 32;
  std::string requests;
  for (int tag = 1; tag <= kMaxOpen; ++tag)
    requests +=
        net::resp_array_text({"EXEC", std::to_string(tag), request_class, request_fields(random, 5000), ""});
  return requests;
}

}  // namespace

// Prevents that the open requests of a crowd take the process past its memory limit, and its whole processor.
TEST_CASE("given a crowd with as many open requests as it may, and silent servers", "[open_requests]") {
  const std::string request_class = GENERATE("page", "order");
  CAPTURE(request_class);
  check(play({.message = [&](auto& random) { return requests_text(random, request_class); }},
             Servers::fall_silent));
}

// Prevents that requests which wait for capacity, and answers that nobody reads, take memory without end.
TEST_CASE("given a crowd that asks for objects and reads nothing", "[unread_objects]") {
  const auto object_bytes = GENERATE(std::size_t{2000}, std::size_t{240'000});
  CAPTURE(object_bytes);
  check(play({.message = [](auto& random) { return requests_text(random, "page"); }, .reads = false},
             Servers::answer, object_bytes));
}
