// Many queries at once at the optional listeners, over a router as a process: flow control holds the replies
// back, and a client that reads gets all of them. WALKPADDLE is the path of the program.
#define CATCH_CONFIG_MAIN
#include <sys/un.h>

#include <catch2/catch.hpp>
#include <string>

#include "platform.h"
#include "router_process.h"

using namespace walkpaddle;

namespace {

constexpr int kMemoryMb = 32;

// A router with the given operator's file, and no endpoints.
struct Router {
  explicit Router(const std::string& operator_config)
      : port(ports.take()),
        program("bulk",
                platform_config_json("n0", port, 0, "",
                                     fmt::format(R"({{"sockets":80,"memory_mb":{}}})", kMemoryMb)),
                port, -1, operator_config) {
    for (const Seconds until = now() + 10; !program.ready() && now() < until;) ::usleep(10'000);
  }
  fakes::Ports ports;
  int port;
  Program program;
};

// Writes `request` so many times, as far as the socket takes it until `write_until`, then goes on with
// reading beside. Gives the bytes read in all, up to `reply_bytes` for each request.
struct Exchange {
  int sent = 0;
  std::size_t received = 0;
};
Exchange exchange(const Fd& fd, const std::string& request, int count, std::size_t reply_bytes,
                  Seconds pause) {
  ::fcntl(fd.get(), F_SETFL, O_NONBLOCK);
  std::string unsent;
  for (int n = 0; n < count; ++n) unsent += request;
  const auto all = unsent.size();
  const Seconds began = now();
  Exchange result;
  while (now() < began + 15 && result.received < static_cast<std::size_t>(count) * reply_bytes) {
    const auto sent = ::send(fd.get(), unsent.data(), unsent.size(), MSG_NOSIGNAL);
    if (sent > 0) unsent.erase(0, static_cast<std::size_t>(sent));
    result.sent = static_cast<int>((all - unsent.size()) / request.size());
    char buffer[65536];
    const auto got = now() > began + pause ? ::recv(fd.get(), buffer, sizeof buffer, 0) : -1;
    if (got == 0) break;
    if (got > 0) result.received += static_cast<std::size_t>(got);
    if (sent <= 0 && got <= 0) ::usleep(1000);
  }
  return result;
}

// The bytes of the reply to one request.
std::size_t reply_size(const Fd& fd, const std::string& request) {
  REQUIRE(::send(fd.get(), request.data(), request.size(), MSG_NOSIGNAL) > 0);
  char buffer[4096];
  return static_cast<std::size_t>(::recv(fd.get(), buffer, sizeof buffer, 0));
}

}  // namespace

// Prevents that the connection of a resolver that reads is closed because its queries came faster than the
// replies could be sent.
TEST_CASE(
    "given a resolver that sends thousands of queries at once over TCP, when it reads, all are answered") {
  constexpr int kQueries = 20'000;
  fakes::Ports ports;
  const int dns_port = ports.take();
  Router router(fmt::format(
      "dns {{\n listen = \"127.0.0.1:{}\"\n zone = \"z.example\"\n server = \"ns.z.example\"\n}}\n",
      dns_port));
  Fd fd = dial(Address{INADDR_LOOPBACK, static_cast<std::uint16_t>(dns_port)});
  ::usleep(50'000);
  ::fcntl(fd.get(), F_SETFL, 0);
  const std::string query(
      "\0\x1b\x12\x34\x01\0\0\x01\0\0\0\0\0\0\x01z\x07"
      "example\0\0\x06\0\x01",
      29);
  const auto size = reply_size(fd, query);
  REQUIRE(size > 30);
  CHECK(exchange(fd, query, kQueries, size, 0).received == kQueries * size);
  CHECK(exchange(fd, query, kQueries, size, 1).received == kQueries * size);  // reads after a second
  CHECK(peak_memory_mb(router.program.pid) <= kMemoryMb);
}

// Prevents that an administrator's client that sends without reading fills the memory.
TEST_CASE(
    "given requests at the admin socket, when their replies are not read, then the memory stays bounded") {
  constexpr int kRequests = 400'000;
  Router router("control { socket = \"FOLDER/control\" }\n");
  Fd fd = dial((router.program.folder / "control").string());
  REQUIRE(fd);
  ::fcntl(fd.get(), F_SETFL, 0);
  const auto size = reply_size(fd, "x\n");
  REQUIRE(size > 10);
  CHECK(exchange(fd, "x\n", kRequests, size, 2).received == kRequests * size);
  CHECK(peak_memory_mb(router.program.pid) <= kMemoryMb);
}
