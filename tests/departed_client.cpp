// Clients that leave, at a router as a process: what they had sent and nobody had read is not sent on, and a
// request that may have run does not run again when its id returns. WALKPADDLE is the path of the program.
#define CATCH_CONFIG_MAIN
#include <algorithm>
#include <catch2/catch.hpp>

#include "deployment.h"

using namespace walkpaddle;

namespace {

constexpr Seconds kPollInterval = 0.005;

std::string request_text(int tag, const std::string& request_class, const std::string& id,
                         const std::string& body = "some bytes") {
  return net::resp_array_text(
      {"EXEC", std::to_string(tag), request_class,
       fmt::format("txn={},limit=3000,item=7f3a9c21e0b4d655,seg=0,bucket=17,unique={}", id, id), body});
}

std::string id_text(int n) { return fmt::format("{:016x}", 0xd000 + n); }

void send_all(const Fd& fd, const std::string& text) {
  REQUIRE(::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
}

// What has come from the router within a time.
Task read_for(Deployment& deployment, const Fd& fd, Seconds time, std::string& text) {
  Event poll(deployment.scheduler);
  for (const Seconds until = now() + time; now() < until;) {
    char buffer[4096];
    const auto got = ::recv(fd.get(), buffer, sizeof buffer, MSG_DONTWAIT);
    if (got > 0) text.append(buffer, static_cast<std::size_t>(got));
    co_await poll.wait(deployment.scheduler.now() + kPollInterval);
  }
}

constexpr const char* kLimits = R"({"sockets":1024,"memory_mb":32})";

enum class Leaving { closes, withdraws, is_answered };

// Sends a request, ends it, and sends one with the same id on a new connection. Gives how often the id came
// to a server, and the second answer.
struct Repeat {
  int times_received = 0;
  std::string answer;
};
// `before`: what the second connection sends first.
Repeat repeat_id(const std::string& request_class, Leaving leaving, const std::string& before = "") {
  Deployment deployment(kLimits, 1000);
  for (const auto& server : deployment.servers)
    server->set_answer_time(leaving == Leaving::is_answered ? 0.01 : 0.3);
  const auto request = request_text(1, request_class, id_text(1));
  Repeat repeat;
  const auto scenario = [&]() -> Task {
    Event pause(deployment.scheduler);
    Fd first = deployment.router->connect_client();
    send_all(first, request);
    co_await pause.wait(deployment.scheduler.now() + 0.1);
    if (leaving == Leaving::withdraws) send_all(first, net::resp_array_text({"FORGET", "1"}));
    if (leaving == Leaving::closes) first = Fd();
    co_await pause.wait(deployment.scheduler.now() + 0.05);
    const Fd second = deployment.router->connect_client();
    send_all(second, before + request);
    deployment.scheduler.start(read_for(deployment, second, 0.6, repeat.answer));
    co_await pause.wait(deployment.scheduler.now() + 0.7);
    deployment.scheduler.stop();
  };
  CHECK(deployment.run(scenario()) == 0);
  repeat.times_received = deployment.times_received(id_text(1));
  return repeat;
}

}  // namespace

// Prevents that a request runs a second time when its id returns after its client has left, or after its
// answer.
TEST_CASE("given a request that may have run, when its id returns, then it does not run again",
          "[repeated_id]") {
  const auto leaving = GENERATE(Leaving::closes, Leaving::withdraws, Leaving::is_answered);
  const auto repeat = repeat_id("order", leaving);
  CAPTURE(static_cast<int>(leaving), repeat.answer);
  CHECK(repeat.times_received == 1);
  CHECK(repeat.answer.find("ABORTED") != std::string::npos);
}

// Prevents that a request which has run is answered as rejected, which says that it did not.
TEST_CASE("given a request that has run, when its id returns on a connection that ends, then it has failed",
          "[repeated_id]") {
  const auto repeat = repeat_id("order", Leaving::is_answered, net::resp_array_text({"NONSENSE", "90", "x"}));
  CAPTURE(repeat.answer);
  CHECK(repeat.times_received == 1);
  CHECK(repeat.answer.find("ABORTED") != std::string::npos);
  CHECK(repeat.answer.find("REJECT") == std::string::npos);
}

// Prevents that requests which were written before their client closed its connection are sent on long after.
TEST_CASE("given much unread input, when its client closes, then no attempt begins afterwards",
          "[unread_at_close]") {
  constexpr Seconds kAllowed = 0.1;  // from the close to the last attempt (docs/promises.md)
  constexpr Seconds kStall = 0.3;    // of the router, while the client writes and closes
  constexpr int kRequests = 20;
  constexpr std::size_t kBytes = 400'000;
  const bool resets = GENERATE(false, true);
  CAPTURE(resets);
  Deployment deployment(kLimits, 1000);
  for (const auto& server : deployment.servers) server->set_silent(true);
  std::string text;
  for (int n = 1; n <= kRequests; ++n) text += request_text(n, "order", id_text(n));
  for (int tag = kRequests + 1; text.size() < kBytes; ++tag)
    text += net::resp_array_text({"FORGET", std::to_string(tag)});
  Seconds closed_at = 0;
  const auto scenario = [&]() -> Task {
    Event pause(deployment.scheduler);
    Fd client = deployment.router->connect_client();
    const int send_buffer = static_cast<int>(kBytes);
    ::setsockopt(client.get(), SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof send_buffer);
    co_await pause.wait(deployment.scheduler.now() + 0.05);  // until it is accepted
    ::kill(deployment.router->pid, SIGSTOP);
    send_all(client, text);
    const linger reset{1, 0};
    if (resets) ::setsockopt(client.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    client = Fd();
    closed_at = now();
    co_await pause.wait(deployment.scheduler.now() + kStall);
    ::kill(deployment.router->pid, SIGCONT);
    co_await pause.wait(deployment.scheduler.now() + 1);
    deployment.scheduler.stop();
  };
  CHECK(deployment.run(scenario()) == 0);
  int late = 0;
  for (const auto& server : deployment.servers)
    for (const auto& received : server->received()) late += received.at > closed_at + kAllowed;
  CHECK(late == 0);
}
