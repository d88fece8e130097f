// A cache server comes up at the address of one that has gone. From when discovery has told of it, no request
// goes to that address under the name of the old one, and none over its connections. WALKPADDLE is the path
// of the program.
#define CATCH_CONFIG_MAIN
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "cache_server.h"
#include "fakes/discovery_frames.h"
#include "orderly_client.h"
#include "platform.h"

using namespace walkpaddle;

namespace {

constexpr Seconds kPollInterval = 0.005;
constexpr int kHub = 0, kEdge = 1;  // places in the settings' list of locations
constexpr int kCache = 0;           // place in the list of models

// Discovery for one router: tells what it is given.
class Discovery {
 public:
  explicit Discovery(Scheduler& scheduler, Outbox& outbox)
      : scheduler_(scheduler), outbox_(outbox), listener_(scheduler, listen_on(Address{INADDR_LOOPBACK, 0})) {
    scheduler_.start(accept_all());
    scheduler_.start(send_heartbeats());
  }
  int port() const { return fakes::local_port(listener_.fd()); }
  void publish_changes(const std::string& records) {
    constexpr int kChanges = 2;  // kind of frame (protocol page)
    write(fakes::discovery_frame(++last_event_, kChanges, records));
  }

 private:
  Task accept_all() {
    while (listener_.open()) {
      if (Fd fd = listener_.accept())
        stream_ = std::make_unique<Stream>(scheduler_, outbox_, std::move(fd));
      else
        co_await listener_.input_ready.wait();
    }
  }
  Task send_heartbeats() {
    constexpr int kNothingNew = 0;
    Event pause(scheduler_);
    for (;;) {
      write(fakes::discovery_frame(last_event_, kNothingNew, ""));
      co_await pause.wait(scheduler_.now() + 1);
    }
  }
  void write(const std::string& frame) {
    if (stream_) stream_->write(frame);
  }
  Scheduler& scheduler_;
  Outbox& outbox_;
  Listener listener_;
  std::unique_ptr<Stream> stream_;
  std::uint64_t last_event_ = 1;
};

// A router with two cache servers, an origin, discovery and clients; one of the servers is to be replaced.
struct Deployment {
  Deployment() {
    for (auto* server : {old_server.get(), &other, &origin}) server->set_answer_time(kAnswerTime);
    for (int n = 0; n < 6; ++n)
      clients.push_back(std::make_unique<OrderlyClient>(router, n, OrderlyClient::Setup{.interval = 0.005}));
  }
  ~Deployment() { scheduler.drop_tasks(); }
  std::string config() const {
    const auto endpoints = endpoint_json("s-00000001", reused_port, "edge", "cache") + "," +
                           endpoint_json("s-00000002", other.port(), "edge", "cache") + "," +
                           endpoint_json("s-00000099", origin.port(), "hub", "origin");
    return platform_config_json("n0", port, discovery.port(), endpoints, R"({"sockets":256,"memory_mb":32})");
  }
  // Whether clients go on for now; they have their turns meanwhile.
  bool plays_until(Seconds until) {
    for (const auto& client : clients) client->step();
    return now() < until;
  }
  void start_new_server() {
    new_server = std::make_unique<CacheServer>(scheduler, outbox, kObjectBytes, reused_port);
    new_server->set_answer_time(kAnswerTime);
  }
  // Runs the scenario, which stops the scheduler, and checks what the clients saw.
  void run(Task scenario) {
    scheduler.start(std::move(scenario));
    scheduler.run();
    for (const auto& client : clients) {
      CAPTURE(client->counts().sent, client->counts().rejected, client->counts().failed);
      CHECK(client->counts().lost == 0);
      CHECK(client->counts().served >= client->counts().sent / 2);
    }
  }
  static int received_after(const CacheServer& server, Seconds time) {
    return static_cast<int>(
        std::ranges::count_if(server.received(), [&](const auto& received) { return received.at > time; }));
  }

  static constexpr Seconds kAnswerTime = 0.004;
  static constexpr std::size_t kObjectBytes = 100;
  Scheduler scheduler;
  Outbox outbox{scheduler, std::size_t{1} << 30};
  Discovery discovery{scheduler, outbox};
  std::unique_ptr<CacheServer> old_server = std::make_unique<CacheServer>(scheduler, outbox, kObjectBytes);
  CacheServer other{scheduler, outbox, kObjectBytes}, origin{scheduler, outbox, kObjectBytes};
  const int reused_port = old_server->port();
  std::unique_ptr<CacheServer> new_server;
  fakes::Ports ports;
  const int port = ports.take();
  Program router{"reused", config(), port};
  std::vector<std::unique_ptr<OrderlyClient>> clients;
};

// From an event to the last attempt that was decided before it.
constexpr Seconds kAllowed = 0.1;

// Plays until the time has passed.
#define PLAY_FOR(time)                                              \
  for (const Seconds until = now() + (time); d.plays_until(until);) \
  co_await poll.wait(d.scheduler.now() + kPollInterval)

enum class Order { old_gone_first, both_at_once, new_first, old_never_gone };

}  // namespace

using fakes::AnnouncedState;
using fakes::endpoint_record;

// Prevents that a new server is taken for the one that had its address before.
TEST_CASE("given a server at the address of one that has gone, then it gets none of the old one's requests") {
  const auto order =
      GENERATE(Order::old_gone_first, Order::both_at_once, Order::new_first, Order::old_never_gone);
  CAPTURE(static_cast<int>(order));
  Deployment d;
  int late = 0;
  const auto scenario = [&]() -> Task {
    Event poll(d.scheduler);
    while (!d.router.ready()) co_await poll.wait(d.scheduler.now() + kPollInterval);
    PLAY_FOR(1);
    CHECK(!d.old_server->received().empty());
    d.old_server->stop();
    co_await poll.wait(d.scheduler.now() + 0.05);
    d.start_new_server();
    const auto gone = endpoint_record(1, d.reused_port, AnnouncedState::gone, kEdge, kCache);
    const auto ready = endpoint_record(5, d.reused_port, AnnouncedState::ready, kHub, kCache);
    if (order == Order::old_gone_first) d.discovery.publish_changes(gone);
    d.discovery.publish_changes(order == Order::both_at_once ? ready + gone : ready);
    const Seconds told_at = now();
    PLAY_FOR(1);
    if (order == Order::new_first) d.discovery.publish_changes(gone);
    PLAY_FOR(0.5);
    late = d.received_after(*d.new_server, told_at + kAllowed);
    d.scheduler.stop();
  };
  d.run(scenario());
  CHECK(late == 0);
}

// Prevents that connections to a machine that was lost are used for the server that has started in its place.
TEST_CASE("given a server that has started anew, then connections to the one before are not used") {
  Deployment d;
  int late = 0;
  const auto scenario = [&]() -> Task {
    Event poll(d.scheduler);
    while (!d.router.ready()) co_await poll.wait(d.scheduler.now() + kPollInterval);
    PLAY_FOR(1);
    CHECK(!d.old_server->received().empty());
    d.old_server->vanish();
    co_await poll.wait(d.scheduler.now() + 0.05);
    d.start_new_server();
    const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    d.discovery.publish_changes(endpoint_record(1, d.reused_port, AnnouncedState::ready, kEdge, kCache,
                                                static_cast<std::uint64_t>(unix_ms.count())));
    const Seconds told_at = now();
    PLAY_FOR(1.5);
    late = d.received_after(*d.old_server, told_at + kAllowed);
    CHECK(!d.new_server->received().empty());
    d.scheduler.stop();
  };
  d.run(scenario());
  CHECK(late == 0);
}
