// A cache server of another location comes up at the address of one that has gone: from when discovery has
// told of it, no request goes to that address under the old server's name. WALKPADDLE is the path of the
// program.
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

enum class Order { old_gone_first, both_at_once, new_first, old_never_gone };

// Gives how many requests the new server received after discovery had told of it.
int requests_at_new_server(Order order) {
  constexpr Seconds kAllowed = 0.1;  // from the event to the last attempt that was decided before it
  Scheduler scheduler;
  Outbox outbox(scheduler, std::size_t{1} << 30);
  Discovery discovery(scheduler, outbox);
  auto old_server = std::make_unique<CacheServer>(scheduler, outbox, 100);
  CacheServer other(scheduler, outbox, 100);
  CacheServer origin(scheduler, outbox, 100);
  for (auto* server : {old_server.get(), &other, &origin}) server->set_answer_time(0.004);
  const int reused_port = old_server->port();
  const auto endpoints = endpoint_json("s-00000001", reused_port, "edge", "cache") + "," +
                         endpoint_json("s-00000002", other.port(), "edge", "cache") + "," +
                         endpoint_json("s-00000099", origin.port(), "hub", "origin");
  fakes::Ports ports;
  const int port = ports.take();
  Program router(
      "reused",
      platform_config_json("n0", port, discovery.port(), endpoints, R"({"sockets":256,"memory_mb":32})"),
      port);
  std::vector<std::unique_ptr<OrderlyClient>> clients;
  for (int n = 0; n < 6; ++n)
    clients.push_back(std::make_unique<OrderlyClient>(router, n, OrderlyClient::Setup{.interval = 0.005}));
  std::unique_ptr<CacheServer> new_server;
  int late = 0;
  const auto scenario = [&]() -> Task {
    Event poll(scheduler);
    const auto play_until = [&](Seconds until) -> bool {
      for (const auto& client : clients) client->step();
      return now() < until;
    };
    while (!router.ready()) co_await poll.wait(scheduler.now() + kPollInterval);
    for (const Seconds until = now() + 1; play_until(until);)
      co_await poll.wait(scheduler.now() + kPollInterval);
    CHECK(!old_server->received().empty());
    old_server->stop();
    co_await poll.wait(scheduler.now() + 0.05);
    new_server = std::make_unique<CacheServer>(scheduler, outbox, 100, reused_port);
    new_server->set_answer_time(0.004);
    using fakes::AnnouncedState;
    const auto gone = fakes::endpoint_record(1, reused_port, AnnouncedState::gone, kEdge, kCache);
    const auto ready = fakes::endpoint_record(5, reused_port, AnnouncedState::ready, kHub, kCache);
    if (order == Order::old_gone_first) discovery.publish_changes(gone);
    discovery.publish_changes(order == Order::both_at_once ? ready + gone : ready);
    const Seconds told_at = now();
    for (const Seconds until = now() + 1; play_until(until);)
      co_await poll.wait(scheduler.now() + kPollInterval);
    if (order == Order::new_first) discovery.publish_changes(gone);
    for (const Seconds until = now() + 0.5; play_until(until);)
      co_await poll.wait(scheduler.now() + kPollInterval);
    late = static_cast<int>(std::ranges::count_if(
        new_server->received(), [&](const auto& received) { return received.at > told_at + kAllowed; }));
    scheduler.stop();
  };
  scheduler.start(scenario());
  scheduler.run();
  for (const auto& client : clients) {
    CAPTURE(client->counts().sent, client->counts().rejected, client->counts().failed);
    CHECK(client->counts().lost == 0);
    CHECK(client->counts().served >= client->counts().sent / 2);
  }
  scheduler.drop_tasks();
  return late;
}

}  // namespace

// Prevents that a new server is taken for the one that had its address before.
TEST_CASE("given a server at the address of one that has gone, then it gets none of the old one's requests") {
  const auto order =
      GENERATE(Order::old_gone_first, Order::both_at_once, Order::new_first, Order::old_never_gone);
  CAPTURE(static_cast<int>(order));
  CHECK(requests_at_new_server(order) == 0);
}
