// Fixtures for tests of the router's connections to clients and endpoints: loopback sockets and a scheduler
// in one thread.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/core.h>
#include <poll.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "config/platform_config.h"
#include "net/client_listener.h"
#include "net/resp_parser.h"
#include "net/upstream_pool.h"

// Waits until `what` holds, up to the limit of within_limit(). For scenarios that run as a task of `s`.
#define WAIT_UNTIL(what)                                                           \
  for (const Seconds since = s.scheduler.now(); s.within_limit(since) && !(what);) \
  co_await s.timer.wait(s.scheduler.now() + 0.01)

namespace walkpaddle {

constexpr std::uint32_t kLoopback = 0x7f000001;

// A listening socket that stands for an endpoint or for discovery.
struct TestListener {
  explicit TestListener(int backlog = 64, int receive_buffer = 0)
      : fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in a{};
    a.sin_family = AF_INET, a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof a;
    if (receive_buffer > 0)
      ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    REQUIRE(::bind(fd.get(), reinterpret_cast<sockaddr*>(&a), size) == 0);
    REQUIRE(::listen(fd.get(), backlog) == 0);
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&a), &size);
    address = {kLoopback, ntohs(a.sin_port)};
  }
  Fd accept() const { return Fd(::accept4(fd.get(), nullptr, nullptr, SOCK_NONBLOCK)); }
  bool has_pending() const {
    pollfd p{fd.get(), POLLIN, 0};
    return ::poll(&p, 1, 0) > 0;
  }
  Fd fd;
  Address address;
};

// All bytes that have arrived, followed by "|" if the other side has closed the connection.
inline std::string read_available(const Fd& fd) {
  std::string all;
  char receive_buffer[65536];
  for (;;) {
    const auto got = ::recv(fd.get(), receive_buffer, sizeof receive_buffer, 0);
    if (got > 0) all.append(receive_buffer, static_cast<std::size_t>(got));
    if (got == 0) return all += "|";
    if (got < 0) return all;
  }
}

inline void send_all(const Fd& fd, const std::string& bytes) {
  REQUIRE(::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
}

inline std::string request_id(int n) { return fmt::format("{:016x}", 0xa0 + n); }

// The scheduler of one test and what the router's parts need besides.
struct TestLoop {
  Log log{"races"};
  Scheduler scheduler;
  Outbox outbox{scheduler, 64 << 20};
  Event timer{scheduler};

  // Runs a scenario: one task, which stops the scheduler at its end.
  template <class F>
  void run_scenario(F&& scenario) {
    scheduler.start(scenario());
    scheduler.run();
    scheduler.drop_tasks();
  }
  // Time limit of waits for events that must happen.
  bool within_limit(Seconds since) const { return scheduler.now() < since + 10; }
};

struct UpstreamFixture : TestLoop {
  explicit UpstreamFixture(std::size_t max_connections = 64, int attempts_per_connection = 32,
                           Seconds dial_timeout = 5)
      : upstream(scheduler, outbox, log, {max_connections, attempts_per_connection, dial_timeout, 60, true}) {
  }
  int update_endpoint(const std::string& name, const Address& at,
                      EndpointState state = EndpointState::ready) {
    const int m = upstream.endpoint_index(name);
    upstream.update_endpoint(m, at, state);
    return m;
  }
  std::unique_ptr<net::Attempt> start_attempt(int m, int n, Seconds start_by = kNoTime,
                                              std::string_view body = {}) {
    ids.push_back(request_id(n));
    return std::make_unique<net::Attempt>(
        scheduler, upstream,
        net::Attempt::Spec{m, m, static_cast<std::uint64_t>(0xa0 + n), ids.back(), body,
                           "cls=page,item=7f3a9c21e0b4d655,chunk=0", scheduler.now() + 30, start_by, true,
                           true});
  }
  net::UpstreamPool upstream;
  std::deque<std::string> ids;
};

struct ClientFixture : TestLoop {
  // `classes`: the request classes by index.
  explicit ClientFixture(std::vector<config::RequestClassName> classes = {{.name = "page"}})
      : clients(scheduler, outbox, log, std::move(listener.fd), {.connections = 8}, std::move(classes),
                [this](std::shared_ptr<net::ClientConnection> c, net::Request o) {
                  serve(std::move(c), std::move(o));
                }) {}
  Fd connect(Fd fd = Fd(::socket(AF_INET, SOCK_STREAM, 0))) {
    const int receive_buffer = 4096;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in a{};
    a.sin_family = AF_INET, a.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    a.sin_port = htons(listener.address.port);
    REQUIRE(::connect(fd.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) == 0);
    ::fcntl(fd.get(), F_SETFL, O_NONBLOCK);
    return fd;
  }
  static std::string exec_command(int n) {
    return net::resp_array_text(
        {"EXEC", std::to_string(n), "page",
         "txn=" + request_id(n) + ",limit=9000,item=7f3a9c21e0b4d655,seg=0,bucket=1"});
  }
  std::function<void(std::shared_ptr<net::ClientConnection>, net::Request)> serve = [this](auto, auto) {
    ++served;
  };
  int served = 0;
  TestListener listener;
  net::ClientListener clients;
};

}  // namespace walkpaddle
