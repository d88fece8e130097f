// Races between two events on a connection. Each test forces the unfavourable order over loopback sockets, in
// one thread.
#define CATCH_CONFIG_MAIN
#include <sys/resource.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

#include "base/text.h"
#include "connection_fixtures.h"
#include "fakes/discovery_frames.h"
#include "net/discovery_client.h"
#include "platform.h"

using namespace walkpaddle;
using namespace walkpaddle::net;
using namespace walkpaddle::fakes;

namespace {

// A server that reads nothing, and so many attempts with large bodies for it that the last of them cannot
// have been written to the socket.
struct BackpressureFixture : UpstreamFixture {
  static constexpr int kAttempts = 300;
  BackpressureFixture() : UpstreamFixture(64, 1000) {}
  void queue_attempts() {
    m = update_endpoint("s-1", listener.address);
    for (int n = 0; n < kAttempts; ++n) attempts.push_back(start_attempt(m, n, kNoTime, body));
  }
  // Reads what the server is sent, until nothing more is available, for at most 0.05 s.
  std::string read_remaining() {
    std::string all;
    const Seconds until = scheduler.now() + 0.05;
    while (scheduler.now() < until) {
      const auto more = read_available(peer);
      if (more.empty()) break;
      all += more;
    }
    return all;
  }
  static bool was_sent(const std::string& all, int n) {
    return all.find("serve\r\n$16\r\n" + request_id(n)) != std::string::npos;
  }
  const std::string body = std::string(48'000, 'x');
  TestListener listener{64, 4096};
  Fd peer;
  int m = -1;
  std::vector<std::unique_ptr<Attempt>> attempts;
};

}  // namespace

TEST_CASE("given a server that reads nothing, when a client leaves, then its queued attempt is never sent") {
  BackpressureFixture s;
  s.run_scenario([&]() -> Task {
    s.queue_attempts();
    WAIT_UNTIL(s.peer = s.listener.accept());
    co_await s.timer.wait(s.scheduler.now() + 0.2);
    s.attempts.back()->abandon();
    CHECK(s.attempts.back()->result().outcome == AttemptOutcome::not_sent);
    std::string all;
    for (const Seconds since = s.scheduler.now();
         s.within_limit(since) && !s.was_sent(all, s.kAttempts - 2);) {
      all += s.read_remaining();
      co_await s.timer.wait(s.scheduler.now() + 0.01);
    }
    co_await s.timer.wait(s.scheduler.now() + 0.1);
    all += s.read_remaining();
    CHECK(s.was_sent(all, s.kAttempts - 2));  // the attempts before it are sent
    CHECK_FALSE(s.was_sent(all, s.kAttempts - 1));
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given a server that reads nothing, when it drains, then exactly the unsent attempts end as not sent") {
  BackpressureFixture s;
  s.run_scenario([&]() -> Task {
    s.queue_attempts();
    WAIT_UNTIL(s.peer = s.listener.accept());
    co_await s.timer.wait(s.scheduler.now() + 0.2);
    s.update_endpoint("s-1", s.listener.address, EndpointState::draining);
    int unsent = 0;
    for (const auto& h : s.attempts) unsent += h->ended() && h->result().outcome == AttemptOutcome::not_sent;
    CHECK(unsent > 0);
    std::string all;
    for (const Seconds since = s.scheduler.now(); s.scheduler.now() < since + 1;) {
      all += s.read_remaining();
      co_await s.timer.wait(s.scheduler.now() + 0.01);
    }
    for (int n = 0; n < s.kAttempts; ++n) {
      auto& h = *s.attempts[static_cast<std::size_t>(n)];
      if (s.was_sent(all, n) == (h.ended() && h.result().outcome == AttemptOutcome::not_sent))
        FAIL("attempt " << n);
    }
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given a connection that is established late, when an attempt's start time has passed, then it is not "
    "sent") {
  UpstreamFixture s;
  const TestListener full_listener(0);
  s.run_scenario([&]() -> Task {
    // `first` fills the listen queue. The next connection is established once `first` has been accepted and
    // its SYN is sent again.
    const Fd first = dial(full_listener.address);
    co_await s.timer.wait(s.scheduler.now() + 0.1);
    const int m = s.update_endpoint("s-1", full_listener.address);
    const Seconds start_by = s.scheduler.now() + 0.3;
    const auto attempt = s.start_attempt(m, 1, start_by);
    while (!attempt->ended() && s.scheduler.now() < start_by + 0.2) {
      const bool changed = co_await attempt->wait();
      if (!changed) attempt->on_timer();
    }
    CHECK(attempt->ended());
    CHECK(attempt->result().outcome == AttemptOutcome::not_sent);
    std::string all;
    std::vector<Fd> accepted;
    for (const Seconds since = s.scheduler.now(); s.scheduler.now() < since + 2;) {
      if (Fd fd = full_listener.accept()) accepted.push_back(std::move(fd));
      for (const auto& fd : accepted) all += read_available(fd);
      co_await s.timer.wait(s.scheduler.now() + 0.01);
    }
    CHECK(accepted.size() == 2);  // the connection was established
    CHECK(all.find(request_id(1)) == std::string::npos);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given an answer that is sent twice, when its request is retried, then the copy does not answer the "
    "retry") {
  UpstreamFixture s;
  const TestListener listener;
  s.run_scenario([&]() -> Task {
    const int m = s.update_endpoint("s-1", listener.address);
    auto attempt = s.start_attempt(m, 1);
    Fd first, second;
    WAIT_UNTIL(first = listener.accept());
    const auto overload = resp_array_text({request_id(1), "overload", "-", ""});
    std::string received;
    WAIT_UNTIL(!(received = read_available(first)).empty());
    send_all(first, overload);
    WAIT_UNTIL(attempt->ended());
    CHECK(attempt->result().outcome == AttemptOutcome::rejected);
    attempt = s.start_attempt(m, 1);
    co_await s.timer.wait(s.scheduler.now() + 0.05);
    send_all(first, overload);
    co_await s.timer.wait(s.scheduler.now() + 0.1);
    CHECK_FALSE(attempt->ended());
    WAIT_UNTIL(second = listener.accept());
    CHECK(second);
    if (!second) co_return s.scheduler.stop();
    send_all(second, resp_array_text({request_id(1), "served", "etag=1", "one"}));
    WAIT_UNTIL(attempt->ended());
    CHECK(attempt->result().outcome == AttemptOutcome::served);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given an answer and a close at once, when another attempt is queued, then that attempt does not fail") {
  UpstreamFixture s(1, 1);
  const TestListener listener;
  s.run_scenario([&]() -> Task {
    const int m = s.update_endpoint("s-1", listener.address);
    const auto attempt = s.start_attempt(m, 1), next = s.start_attempt(m, 2);
    Fd first, second;
    WAIT_UNTIL(first = listener.accept());
    std::string received;
    WAIT_UNTIL(!(received = read_available(first)).empty());
    send_all(first, resp_array_text({request_id(1), "served", "etag=1", "one"}));
    first = Fd();
    WAIT_UNTIL(second = listener.accept());
    CHECK(attempt->result().outcome == AttemptOutcome::served);
    CHECK_FALSE(next->ended());
    CHECK(second);
    if (!second) co_return s.scheduler.stop();
    received.clear();
    WAIT_UNTIL(!(received = read_available(second)).empty());
    CHECK(received.find(request_id(2)) != std::string::npos);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given an idle connection that the server has closed, when an attempt starts, then it is not written to "
    "it") {
  UpstreamFixture s;
  const TestListener listener;
  s.run_scenario([&]() -> Task {
    const int m = s.update_endpoint("s-1", listener.address);
    const auto attempt = s.start_attempt(m, 1);
    Fd first, second;
    WAIT_UNTIL(first = listener.accept());
    send_all(first, resp_array_text({request_id(1), "served", "etag=1", "one"}));
    WAIT_UNTIL(attempt->ended());
    read_available(first);  // unread bytes would turn the close into a reset
    first = Fd();
    const auto next = s.start_attempt(m, 2);  // in the same turn: the close has not been read yet
    WAIT_UNTIL(second = listener.accept());
    CHECK_FALSE(next->ended());
    CHECK(second);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given an idle connection with half a line and its end unread, when an attempt starts, then it is not "
    "written to it") {
  UpstreamFixture s;
  const TestListener listener;
  s.run_scenario([&]() -> Task {
    const int m = s.update_endpoint("s-1", listener.address);
    const auto attempt = s.start_attempt(m, 1);
    Fd first, second;
    WAIT_UNTIL(first = listener.accept());
    send_all(first, resp_array_text({request_id(1), "served", "etag=1", "one"}));
    WAIT_UNTIL(attempt->ended());
    read_available(first);
    send_all(first, "*4\r\n$16");
    first = Fd();
    const auto next = s.start_attempt(m, 2);  // in the same turn
    WAIT_UNTIL(next->ended() || (second = listener.accept()));
    CHECK_FALSE(next->ended());
    CHECK(second);
    s.scheduler.stop();
  });
}

// Prevents that a crowd of requests at an endpoint that does not answer takes the thread for seconds.
TEST_CASE("given many attempts that wait for one endpoint, then each further one is queued at once") {
  constexpr int kAttempts = 16'000;
  constexpr Seconds kAllowed = 0.5;  // half of the time after which silent endpoints are given up
  UpstreamFixture s(64, 1);
  const TestListener silent;
  std::vector<std::unique_ptr<Attempt>> attempts;
  s.run_scenario([&]() -> Task {
    const int endpoint = s.update_endpoint("s-1", silent.address);
    for (int n = 0; n < 64; ++n) attempts.push_back(s.start_attempt(endpoint, n));
    co_await s.timer.wait(s.scheduler.now() + 0.2);  // until the connections are up
    const Seconds began = s.scheduler.now_uncached();
    for (int n = 64; n < kAttempts; ++n) attempts.push_back(s.start_attempt(endpoint, n));
    CHECK(s.scheduler.now_uncached() - began < kAllowed);
    s.scheduler.stop();
  });
}

TEST_CASE("given an answer that arrives a byte at a time, then its connection is closed") {
  UpstreamFixture s;
  const TestListener listener;
  s.run_scenario([&]() -> Task {
    const auto attempt = s.start_attempt(s.update_endpoint("s-1", listener.address), 1);
    Fd peer;
    WAIT_UNTIL(peer = listener.accept());
    send_all(peer, "*4\r\n$16\r\n" + request_id(1) + "\r\n$6\r\nserved\r\n$6\r\netag=1\r\n$90000\r\n");
    for (int n = 0; n < 60 && !attempt->ended(); ++n) {  // a byte every 50 ms, for 3 s
      if (::send(peer.get(), "x", 1, MSG_NOSIGNAL) < 0) break;
      co_await s.timer.wait(s.scheduler.now() + 0.05);
    }
    CHECK(attempt->ended());
    CHECK(attempt->result().outcome == AttemptOutcome::connection_broken);
    s.scheduler.stop();
  });
}

TEST_CASE("given an answer with a malformed age, then its attempt ends") {
  UpstreamFixture s;
  const TestListener listener;
  s.run_scenario([&]() -> Task {
    const auto attempt = s.start_attempt(s.update_endpoint("s-1", listener.address), 1);
    Fd peer;
    WAIT_UNTIL(peer = listener.accept());
    co_await s.timer.wait(s.scheduler.now() + 0.05);
    send_all(peer, resp_array_text({request_id(1), "served", "age=x", "one"}));
    for (const Seconds since = s.scheduler.now(); s.scheduler.now() < since + 2 && !attempt->ended();)
      co_await s.timer.wait(s.scheduler.now() + 0.01);
    CHECK(attempt->ended());
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given the connection limit reached, when another attempt starts, then it dials only after one is idle") {
  UpstreamFixture s(2);
  const TestListener listeners[3];
  s.run_scenario([&]() -> Task {
    std::vector<std::unique_ptr<Attempt>> attempts;
    for (int n = 0; n < 3; ++n)
      attempts.push_back(
          s.start_attempt(s.update_endpoint("s-" + std::to_string(n), listeners[n].address), n));
    WAIT_UNTIL(listeners[0].has_pending() && listeners[1].has_pending());
    co_await s.timer.wait(s.scheduler.now() + 0.2);
    CHECK_FALSE(listeners[2].has_pending());
    attempts[0]->abandon();  // its connection is idle now and can be closed for another
    WAIT_UNTIL(listeners[2].has_pending());
    CHECK(listeners[2].has_pending());
    s.scheduler.stop();
  });
}

TEST_CASE("given a dial in progress, when its endpoint moves, then its attempts go to the new address") {
  UpstreamFixture s;
  const TestListener full_listener(0), new_listener;
  s.run_scenario([&]() -> Task {
    const Fd first = dial(full_listener.address);
    co_await s.timer.wait(s.scheduler.now() + 0.1);
    const auto attempt = s.start_attempt(s.update_endpoint("s-1", full_listener.address), 1);
    co_await s.timer.wait(s.scheduler.now() + 0.05);
    s.update_endpoint("s-1", new_listener.address);
    const Fd accepted = full_listener.accept();
    for (const Seconds since = s.scheduler.now();
         s.scheduler.now() < since + 4 && !new_listener.has_pending();)
      co_await s.timer.wait(s.scheduler.now() + 0.01);
    CHECK(new_listener.has_pending());
    s.scheduler.stop();
  });
}

TEST_CASE("given no free descriptor, when the connection to discovery breaks, then it is dialled again") {
  TestLoop s;
  const TestListener server;
  const auto config =
      config::parse_platform_config(platform_config_json("n0", 1, server.address.port, "", "{}"));
  purge::PurgeRegistry purges({}, s.scheduler.now());
  RequestDispatcher dispatcher(s.scheduler, 7, config.settings, purges);
  UpstreamPool upstream(s.scheduler, s.outbox, s.log, {8, 32, 1, 60, true});
  DiscoveryClient discovery(s.scheduler, s.outbox, s.log, dispatcher, upstream);
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  s.run_scenario([&]() -> Task {
    discovery.follow(server.address);
    Fd stream;
    WAIT_UNTIL(stream = server.accept());
    const rlimit tight{64, before.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &tight);
    std::vector<Fd> occupied;
    const auto occupy_all = [&] {
      while (Fd fd{::open("/dev/null", O_RDONLY)}) occupied.push_back(std::move(fd));
    };
    occupy_all();
    ::shutdown(stream.get(), SHUT_RDWR);
    // This task runs in every turn and occupies each descriptor as soon as it is free.
    for (const Seconds since = s.scheduler.now(); s.scheduler.now() < since + 2 && !server.has_pending();) {
      co_await s.timer.wait(s.scheduler.now());
      occupy_all();
    }
    CHECK(server.has_pending());
    s.scheduler.stop();
  });
  ::setrlimit(RLIMIT_NOFILE, &before);
}

TEST_CASE(
    "given an idle client, when its request crosses the half-close of its connection, then it is not "
    "served") {
  ClientFixture s;
  s.run_scenario([&]() -> Task {
    const Fd c = s.connect();
    send_all(c, resp_array_text({"ALIVE", "1", ""}));
    std::string got;
    WAIT_UNTIL(!(got = read_available(c)).empty());
    s.clients.close_idle();
    WAIT_UNTIL((got += read_available(c)).ends_with("|"));
    send_all(c, s.exec_command(2));
    co_await s.timer.wait(s.scheduler.now() + 0.2);
    CHECK(s.served == 0);
    s.scheduler.stop();
  });
}

TEST_CASE("given a shutdown, when a request arrives before the connection is closed, then it is rejected") {
  ClientFixture s;
  s.run_scenario([&]() -> Task {
    const Fd c = s.connect();
    send_all(c, s.exec_command(1));
    WAIT_UNTIL(s.served > 0);
    s.clients.abort_open();
    send_all(c, s.exec_command(2));
    std::string got;
    WAIT_UNTIL(!(got = read_available(c)).empty());
    CHECK(got == resp_array_text({"2", "REJECT"}));
    CHECK(s.served == 1);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given a client that does not read its answers, when it cancels a later request, then that is not "
    "served") {
  ClientFixture s;
  const std::string large(240'000, 'x');
  s.serve = [&](std::shared_ptr<ClientConnection> client, Request request) {
    ++s.served;
    client->answer(request.tag, "RESULT", "etag=1", large);
  };
  s.run_scenario([&]() -> Task {
    const Fd c = s.connect();
    std::string all;
    for (int n = 1; n <= 8; ++n) all += s.exec_command(n);
    send_all(c, all);
    co_await s.timer.wait(s.scheduler.now() + 0.3);
    send_all(c, s.exec_command(9) + resp_array_text({"FORGET", "9", ""}));
    co_await s.timer.wait(s.scheduler.now() + 0.3);
    std::size_t got = 0;
    for (const Seconds since = s.scheduler.now(); s.within_limit(since) && got < 8 * large.size();) {
      got += read_available(c).size();
      co_await s.timer.wait(s.scheduler.now() + 0.01);
    }
    co_await s.timer.wait(s.scheduler.now() + 0.2);
    CHECK(s.served == 8);
    s.scheduler.stop();
  });
}

TEST_CASE("given a client that sends at full speed, then other tasks have their turns") {
  ClientFixture s;
  s.run_scenario([&]() -> Task {
    const Fd c = s.connect();
    ::fcntl(c.get(), F_SETFL, 0);
    std::atomic<bool> over = false;
    std::string flood;
    for (int n = 1; n <= 2000; ++n) flood += resp_array_text({"FORGET", std::to_string(n), ""});
    std::thread sender([&] {
      while (!over && ::send(c.get(), flood.data(), flood.size(), MSG_NOSIGNAL) > 0) {
      }
    });
    int turns = 0;
    std::thread stopper([&] {  // ends the flood, so that a task that never yields fails the test
      std::this_thread::sleep_for(std::chrono::seconds(2));
      over = true;
      ::shutdown(c.get(), SHUT_RDWR);
    });
    while (!over && turns < 20) {
      co_await s.timer.wait(s.scheduler.now() + 0.01);
      ++turns;
    }
    CHECK(turns == 20);
    stopper.join();
    sender.join();
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given an attempt that waits for a dial, when a whole list lacks its endpoint, then it is not sent") {
  UpstreamFixture s;
  const TestListener full_listener(0);
  const auto config = config::parse_platform_config(platform_config_json("n0", 1, 1, "", "{}"));
  purge::PurgeRegistry purges({}, s.scheduler.now());
  RequestDispatcher dispatcher(s.scheduler, 7, config.settings, purges);
  DiscoveryClient discovery(s.scheduler, s.outbox, s.log, dispatcher, s.upstream);
  s.run_scenario([&]() -> Task {
    const Fd first = dial(full_listener.address);
    co_await s.timer.wait(s.scheduler.now() + 0.1);
    discovery.begin_endpoint_list(true);
    discovery.update_endpoint("s-1", full_listener.address, 1, 0, 0, EndpointState::ready, 1, 0);
    discovery.end_endpoint_list();
    const auto attempt = s.start_attempt(s.upstream.endpoint_index("s-1"), 1);
    discovery.begin_endpoint_list(true);
    discovery.end_endpoint_list();
    CHECK(attempt->ended());
    CHECK(attempt->result().outcome == AttemptOutcome::not_sent);
    s.scheduler.stop();
  });
}

// Prevents that an answer which the kernel still holds is discarded by an eviction.
TEST_CASE(
    "given a client with an unread answer, when a client has to be evicted, then it keeps its connection and "
    "gets all answers") {
  ClientFixture s;
  const std::string large(200'000, 'x');
  s.serve = [&](std::shared_ptr<ClientConnection> client, Request request) {
    ++s.served;
    client->answer(request.tag, "RESULT", "etag=1", large);
  };
  s.run_scenario([&]() -> Task {
    const Fd c = s.connect();
    send_all(c, s.exec_command(1));
    WAIT_UNTIL(s.served > 0);
    // The answer is in the kernel's buffers; the client reads nothing.
    co_await s.timer.wait(s.scheduler.now() + 0.3);
    std::vector<Fd> others;
    for (int n = 0; n < 8; ++n) others.push_back(s.connect());
    co_await s.timer.wait(s.scheduler.now() + 0.2);
    send_all(c, s.exec_command(2));
    const auto both =
        resp_array_text({"1", "RESULT", "etag=1", large}) + resp_array_text({"2", "RESULT", "etag=1", large});
    std::string got;
    for (const Seconds since = s.scheduler.now(); s.within_limit(since) && got.size() < both.size();) {
      co_await s.timer.wait(s.scheduler.now() + 0.01);
      got += read_available(c);
    }
    CHECK(got == both);
    CHECK(s.served == 2);
    s.scheduler.stop();
  });
}

// Prevents that clients which read none of their answers keep their connections while others need them.
TEST_CASE("given clients that have stopped reading, when others connect, then these are served") {
  ClientFixture s;
  const std::string large(200'000, 'x');
  s.serve = [&](std::shared_ptr<ClientConnection> client, Request request) {
    ++s.served;
    client->answer(request.tag, "RESULT", "etag=1", request.tag == "1" ? large : "two");
  };
  s.run_scenario([&]() -> Task {
    std::vector<Fd> stalled;
    for (int n = 0; n < 8; ++n) send_all(stalled.emplace_back(s.connect()), s.exec_command(1));
    WAIT_UNTIL(s.served == 8);
    const auto answer = resp_array_text({"2", "RESULT", "etag=1", "two"});
    std::string got;
    for (const Seconds since = s.scheduler.now(); s.within_limit(since) && got != answer;) {
      const Fd c = s.connect();
      send_all(c, s.exec_command(2));
      co_await s.timer.wait(s.scheduler.now() + 0.1);
      got = read_available(c);
    }
    CHECK(got == answer);
    s.scheduler.stop();
  });
}

// Prevents that messages which hardly arrive keep others from connecting, or are given up after others.
TEST_CASE(
    "given messages that arrive byte by byte on all connections, when others connect, then these are served, "
    "and so is a slow message") {
  ClientFixture s;
  s.serve = [&](std::shared_ptr<ClientConnection> client, Request request) {
    ++s.served;
    client->answer(request.tag, "RESULT", "etag=1", "one");
  };
  s.run_scenario([&]() -> Task {
    const std::string message = s.exec_command(1);
    const auto answer = resp_array_text({"1", "RESULT", "etag=1", "one"});
    std::vector<Fd> dripping;
    for (int n = 0; n < 7; ++n) dripping.push_back(s.connect());
    const Fd slow = s.connect();
    const Seconds began = s.scheduler.now();
    std::size_t slow_sent = 0;
    int served = 0;
    // The slow message takes 4 s, the others a second for each byte. New clients come in the last second.
    for (int step = 0; step < 40; ++step) {
      for (const auto& fd : dripping)
        if (step % 10 == 0) ::send(fd.get(), message.data() + step / 10, 1, MSG_NOSIGNAL);
      const auto due = message.size() * static_cast<std::size_t>(step + 1) / 40;
      send_all(slow, message.substr(slow_sent, due - slow_sent));
      slow_sent = due;
      co_await s.timer.wait(began + 0.1 * (step + 1));
      if (step < 30 || step >= 37) continue;
      const Fd c = s.connect();
      send_all(c, message);
      co_await s.timer.wait(s.scheduler.now() + 0.05);
      served += read_available(c) == answer;
    }
    CHECK(served == 7);
    std::string got;
    WAIT_UNTIL((got += read_available(slow)).size() >= answer.size());
    CHECK(got == answer);
    int told = 0;
    for (const auto& fd : dripping) told += read_available(fd) == "|";
    CHECK(told >= 1);
    s.scheduler.stop();
  });
}

// Prevents that a hand-over or a shutdown cuts off a message that is arriving, or reads it to its end without
// having told the client.
TEST_CASE(
    "given a message that is arriving, when connections are closed, then it is served or its client told") {
  ClientFixture s;
  s.serve = [&](std::shared_ptr<ClientConnection> client, Request request) {
    ++s.served;
    client->answer(request.tag, "RESULT", "etag=1", "one");
  };
  s.run_scenario([&]() -> Task {
    const std::string message = s.exec_command(1);
    const auto half = message.size() / 2;
    const Fd first = s.connect(), second = s.connect();
    send_all(first, message.substr(0, half));
    send_all(second, message.substr(0, half));
    for (int n = 0; n < 50; ++n) {
      co_await s.timer.wait(s.scheduler.now() + 0.01);
      s.clients.close_idle();
    }
    CHECK(s.clients.has_arriving_messages());
    send_all(first, message.substr(half));
    std::string got;
    const auto answer = resp_array_text({"1", "RESULT", "etag=1", "one"});
    WAIT_UNTIL((got += read_available(first)).size() >= answer.size());
    CHECK(got.starts_with(answer));
    s.clients.close_idle_and_unfinished();
    got.clear();
    WAIT_UNTIL((got += read_available(second)).ends_with("|"));
    send_all(second, message.substr(half));
    co_await s.timer.wait(s.scheduler.now() + 0.1);
    CHECK(s.served == 1);
    CHECK_FALSE(s.clients.has_arriving_messages());
    s.scheduler.stop();
  });
}

// Prevents that a client keeps a connection which is ending by writing on and on.
TEST_CASE("given a malformed message, when its client goes on sending requests, then the connection ends") {
  ClientFixture s;
  s.run_scenario([&]() -> Task {
    const Fd c = s.connect();
    send_all(c, resp_array_text({"NONSENSE", "1", ""}));
    std::string got;
    const Seconds since = s.scheduler.now();
    for (int n = 2; s.scheduler.now() < since + 2 && !got.ends_with("|");) {
      for (int more = 0; more < 20; ++more) {
        const auto message = s.exec_command(n++);
        ::send(c.get(), message.data(), message.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      }
      got += read_available(c);
      co_await s.timer.wait(s.scheduler.now());
    }
    CHECK(got.ends_with("|"));
    CHECK(got.starts_with(resp_array_text({"2", "REJECT"})));
    CHECK(s.served == 0);
    s.scheduler.stop();
  });
}

TEST_CASE("given a client with an unread request, when a client has to be evicted, then it is another one") {
  ClientFixture s;
  s.serve = [&](std::shared_ptr<ClientConnection> client, Request request) {
    ++s.served;
    client->answer(request.tag, "RESULT", "etag=1", "one");
  };
  s.run_scenario([&]() -> Task {
    const Fd c = s.connect();
    send_all(c, s.exec_command(1));
    WAIT_UNTIL(s.served > 0);
    co_await s.timer.wait(s.scheduler.now() + 0.3);
    std::vector<Fd> others;
    for (int n = 0; n < 8; ++n) others.push_back(s.connect());
    send_all(c, s.exec_command(2));  // before the listener has accepted any of the others
    std::string got;
    const auto both =
        resp_array_text({"1", "RESULT", "etag=1", "one"}) + resp_array_text({"2", "RESULT", "etag=1", "one"});
    WAIT_UNTIL((got += read_available(c)).size() >= both.size());
    CHECK(got == both);
    CHECK(s.served == 2);
    s.scheduler.stop();
  });
}

namespace {

// Holds a request open until the scenario answers it.
struct OpenRequestFixture : ClientFixture {
  OpenRequestFixture() {
    serve = [this](std::shared_ptr<ClientConnection> client, Request request) {
      ++served;
      tag = request.tag;
      handle.emplace(dispatcher, 0, 1, request.object_text, 0, 0, scheduler.now() + 9);
      client->add_request(tag, *handle);
      client_connection = std::move(client);
    };
  }
  void answer() {
    client_connection->answer(tag, "RESULT", "etag=1", "one");
    client_connection->remove_request(tag);
    client_connection.reset(), handle.reset();
  }
  const std::string answered = resp_array_text({"1", "RESULT", "etag=1", "one"});
  config::PlatformConfig config = config::parse_platform_config(platform_config_json("n0", 1, 1, "", "{}"));
  purge::PurgeRegistry purges{{}, scheduler.now()};
  RequestDispatcher dispatcher{scheduler, 7, config.settings, purges};
  std::string tag;
  std::optional<RequestHandle> handle;
  std::shared_ptr<ClientConnection> client_connection;
};

}  // namespace

TEST_CASE(
    "given malformed input after a request, then the request is answered before the connection is closed") {
  OpenRequestFixture s;
  s.run_scenario([&]() -> Task {
    const Fd c = s.connect();
    send_all(c, s.exec_command(1) + "GET / HTTP/1.1\r\n\r\n" + s.exec_command(2));
    WAIT_UNTIL(s.client_connection);
    co_await s.timer.wait(s.scheduler.now() + 0.2);
    CHECK_FALSE(s.handle->has_client_left());
    s.answer();
    std::string got;
    WAIT_UNTIL((got += read_available(c)).ends_with("|"));
    CHECK(got == s.answered + "|");
    CHECK(s.served == 1);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given a client that reused a tag, when it cancels the accepted request, then the request is cancelled") {
  OpenRequestFixture s;
  s.run_scenario([&]() -> Task {
    const Fd c = s.connect();
    // A second request with a tag in use is a protocol error: the connection is ending.
    send_all(c, s.exec_command(1) + s.exec_command(1));
    WAIT_UNTIL(s.client_connection);
    co_await s.timer.wait(s.scheduler.now() + 0.1);
    send_all(c, resp_array_text({"FORGET", "1", ""}));
    WAIT_UNTIL(s.handle->has_client_left());
    CHECK(s.handle->has_client_left());
    s.scheduler.stop();
  });
}

TEST_CASE("given a client that writes slowly, when it has an open request, then that request is answered") {
  OpenRequestFixture s;
  s.run_scenario([&]() -> Task {
    const Fd c = s.connect();
    const auto next = s.exec_command(2);
    send_all(c, s.exec_command(1) + next.substr(0, 20));
    co_await s.timer.wait(s.scheduler.now() + 2.4);  // longer than the time limit for a whole message
    CHECK_FALSE(s.handle->has_client_left());
    s.answer();
    send_all(c, next.substr(20));
    std::string got;
    for (const Seconds since = s.scheduler.now(); s.within_limit(since) && (got.empty() || s.served < 2);
         got += read_available(c))
      co_await s.timer.wait(s.scheduler.now() + 0.01);
    CHECK(got == s.answered);
    CHECK(s.served == 2);
    s.scheduler.stop();
  });
}

TEST_CASE(
    "given a client that sends malformed input endlessly, then its connection is closed in bounded time") {
  ClientFixture s;
  s.run_scenario([&]() -> Task {
    const Fd c = s.connect();
    const std::string malformed(4096, 'x');
    bool refused = false;
    const Seconds since = s.scheduler.now();
    while (s.within_limit(since) && !refused) {
      refused = ::send(c.get(), malformed.data(), malformed.size(), MSG_NOSIGNAL) < 0 && errno != EAGAIN;
      co_await s.timer.wait(s.scheduler.now() + 0.005);
    }
    CHECK(refused);
    CHECK(s.clients.count() == 0);
    s.scheduler.stop();
  });
}

namespace {

std::string endpoint(int id, AnnouncedState state) {
  constexpr int kFirstPort = 9;  // each endpoint has a port of its own
  return endpoint_record(static_cast<unsigned>(id), kFirstPort + id, state, 1, 0);
}

// A discovery client; the scenario plays the server.
struct DiscoveryFixture : TestLoop {
  bool ready(int id) { return upstream.is_ready(upstream.endpoint_index(fmt::format("s-{:08x}", id))); }
  // The event number in the first message of a connection, -1 before it arrives.
  static int hello_number(const Fd& fd) {
    const auto got = read_available(fd);
    return got.size() < 8 ? -1 : got[7];
  }

  config::PlatformConfig config = config::parse_platform_config(platform_config_json("n0", 1, 1, "", "{}"));
  purge::PurgeRegistry purges{{}, scheduler.now()};
  RequestDispatcher dispatcher{scheduler, 7, config.settings, purges};
  UpstreamPool upstream{scheduler, outbox, log, {8, 32, 1, 60, true}};
  DiscoveryClient discovery{scheduler, outbox, log, dispatcher, upstream};
};

}  // namespace

TEST_CASE("given a connection that breaks inside a frame, then each event is applied once and in order") {
  DiscoveryFixture s;
  const TestListener server;
  s.run_scenario([&]() -> Task {
    s.discovery.follow(server.address);
    Fd first, second;
    WAIT_UNTIL(first = server.accept());
    int last_event = -1;
    WAIT_UNTIL((last_event = s.hello_number(first)) >= 0);
    CHECK(last_event == 0);
    const auto whole =
        discovery_frame(1, 1, endpoint(1, AnnouncedState::ready) + endpoint(2, AnnouncedState::ready));
    const auto drain = discovery_frame(2, 2, endpoint(1, AnnouncedState::draining)),
               back = discovery_frame(3, 2, endpoint(1, AnnouncedState::ready)),
               gone = discovery_frame(4, 2, endpoint(2, AnnouncedState::gone));
    send_all(first, whole + drain.substr(0, 20));
    WAIT_UNTIL(s.ready(1));
    first = Fd();
    WAIT_UNTIL(second = server.accept());
    WAIT_UNTIL((last_event = s.hello_number(second)) >= 0);
    CHECK(last_event == 1);
    CHECK(s.ready(1));  // half a frame has no effect
    // Frames are repeated, also after the frames that follow them.
    send_all(second, whole + drain + back + drain + whole + gone + drain);
    WAIT_UNTIL(!s.ready(2));
    CHECK(s.ready(1));
    CHECK_FALSE(s.ready(2));
    s.scheduler.stop();
  });
}

TEST_CASE("given a discovery client that is moved twice, then it follows only the last address") {
  DiscoveryFixture s;
  const TestListener full_listener(0), previous, skipped, latest;
  const Fd occupant = dial(full_listener.address);
  const auto frames = [&](AnnouncedState one) {
    return discovery_frame(1, 1, endpoint(1, one) + endpoint(2, AnnouncedState::ready));
  };
  // It moves during a dial that is never established, during a pause between dials, or from a server that
  // keeps sending.
  const int from = GENERATE(0, 1, 2);
  CAPTURE(from);
  s.run_scenario([&]() -> Task {
    co_await s.timer.wait(s.scheduler.now() + 0.1);
    Fd previous_connection, new_connection;
    s.discovery.follow(from == 0   ? full_listener.address
                       : from == 1 ? Address{kLoopback, 1}
                                   : previous.address);
    if (from == 1)
      co_await s.timer.wait(s.scheduler.now() + 0.9);  // the pauses between dials have grown by then
    if (from == 2) WAIT_UNTIL(previous_connection = previous.accept());
    co_await s.timer.wait(s.scheduler.now() + 0.05);
    const Seconds moved_at = s.scheduler.now();
    // A frame from the previous server is unread while the client is moved twice in a row.
    if (previous_connection) send_all(previous_connection, frames(AnnouncedState::draining));
    s.discovery.follow(skipped.address);
    s.discovery.follow(latest.address);
    WAIT_UNTIL(new_connection = latest.accept());
    CHECK(s.scheduler.now() < moved_at + 0.3);
    CHECK_FALSE(skipped.has_pending());
    send_all(new_connection, frames(AnnouncedState::ready));
    WAIT_UNTIL(s.ready(2));
    CHECK(s.ready(1));
    if (previous_connection)  // the previous server keeps sending, and the client ignores it
      for (int n = 0; n < 20 && ::send(previous_connection.get(), "x", 1, MSG_NOSIGNAL) > 0; ++n)
        co_await s.timer.wait(s.scheduler.now() + 0.01);
    CHECK(s.ready(1));
    s.scheduler.stop();
  });
}

TEST_CASE("given no free descriptor for a new client, then an idle client is evicted") {
  ClientFixture s;
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  s.run_scenario([&]() -> Task {
    const Fd idle = s.connect();
    send_all(idle, resp_array_text({"ALIVE", "1", ""}));
    std::string got;
    WAIT_UNTIL(!(got = read_available(idle)).empty());
    Fd newcomer(::socket(AF_INET, SOCK_STREAM, 0));
    const rlimit tight{64, before.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &tight);
    std::vector<Fd> all;
    while (Fd fd{::open("/dev/null", O_RDONLY)}) all.push_back(std::move(fd));
    newcomer = s.connect(std::move(newcomer));
    send_all(newcomer, resp_array_text({"ALIVE", "2", ""}));
    WAIT_UNTIL(!(got = read_available(newcomer)).empty());
    CHECK(got == resp_array_text({"2", "UNREADY"}));
    CHECK(read_available(idle) == "|");
    s.scheduler.stop();
  });
  ::setrlimit(RLIMIT_NOFILE, &before);
}
