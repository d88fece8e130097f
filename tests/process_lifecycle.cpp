// Starts, reloads and graceful shutdowns of the program as a process. WALKPADDLE is the path of the program.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "base/text.h"
#include "platform.h"
#include "router_process.h"

using namespace walkpaddle;

namespace {

// Added to the platform's time limits: the delay with which a busy machine may run a process.
constexpr Seconds kProcessDelay = 1;

std::string exec_command(int n) {
  return net::resp_array_text(
      {"EXEC", std::to_string(n), "page",
       fmt::format("txn={:016x},limit=60000,item=7f3a9c21e0b4d655,seg=0,bucket=17", n)});
}

void replace_text(std::string& text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE(
    "given a large configuration and no discovery, when forty routers start at once, then they become "
    "ready") {
  const SilentListener discovery;
  fakes::Ports ports;
  std::string members, events;
  for (int n = 0; n < 200; ++n)
    members += fmt::format("{}{}", n > 0 ? "," : "",
                           endpoint_json(fmt::format("s-{:08x}", n), 9, n < 190 ? "edge" : "hub",
                                         n < 190   ? "cache"
                                         : n < 199 ? "parent"
                                                   : "origin"));
  for (int n = 0; n < 2000; ++n)
    events += fmt::format(R"(,{{"offset":{},"ban":{{"url":"{:016x}","ts":{}}}}})", n + 2, n * 7919,
                          1'760'000'000'000 + n);
  std::vector<std::unique_ptr<Program>> programs;
  const Seconds started = now();
  for (int n = 0; n < 40; ++n) {
    const int port = ports.take();
    auto config = platform_config_json(fmt::format("n{}", n), port, discovery.port, members,
                                       R"({"sockets":512,"memory_mb":48})");
    replace_text(config, R"(]}}]})", R"(]}})" + events + "]}");
    replace_text(config, R"("known":{"offset":1)", R"("known":{"offset":2001)");
    programs.push_back(std::make_unique<Program>(fmt::format("start{}", n), config, port));
  }
  int ready = 0;
  for (const auto& p : programs) {
    while (!p->ready() && now() < started + 30) ::usleep(10'000);
    ready += now() < started + 10;
  }
  CHECK(ready >= 36);  // nine in ten are ready within 10 s
}

TEST_CASE(
    "given a site's deadline, when the program is terminated, then it answers all requests before it is "
    "killed") {
  const int limit_ms = GENERATE(400, 2000, 20000);
  CAPTURE(limit_ms);
  const Seconds kill_after = std::min(3.0, limit_ms / 1e3) + 0.7;
  const SilentListener discovery, cache;
  fakes::Ports ports;
  const int port = ports.take();
  auto config = platform_config_json("n0", port, discovery.port,
                                     endpoint_json("s-00000001", cache.port, "edge", "cache") + "," +
                                         endpoint_json("s-00000002", cache.port, "hub", "parent") + "," +
                                         endpoint_json("s-00000003", cache.port, "hub", "origin"),
                                     R"({"sockets":128,"memory_mb":32})");
  replace_text(config, R"("deadline":2000)", fmt::format(R"("deadline":{})", limit_ms));
  replace_text(config, R"("deadline":4000)", fmt::format(R"("deadline":{})", limit_ms));
  Program p("end", config, port);
  for (const Seconds since = now(); !p.ready() && now() < since + 30;) ::usleep(10'000);
  const Fd old = p.connect_client(), idle = p.connect_client();
  REQUIRE(::send(old.get(), exec_command(1).data(), exec_command(1).size(), MSG_NOSIGNAL) > 0);
  pollfd pending{cache.fd.get(), POLLIN, 0};
  REQUIRE(::poll(&pending, 1, 10'000) > 0);  // its attempt was dialled, and no endpoint will answer it
  const Seconds stopped_at = now();
  REQUIRE(::kill(p.pid, SIGTERM) == 0);
  // Clients open connections for 0.4 s more, and send requests on them for 0.2 s after that.
  ::usleep(400'000);
  const Fd new_client = p.connect_client();
  REQUIRE(new_client);
  ::usleep(150'000);
  REQUIRE(::send(new_client.get(), exec_command(2).data(), exec_command(2).size(), MSG_NOSIGNAL) > 0);
  const auto first = p.read_answers(old, "", 1), second = p.read_answers(new_client, "", 1);
  CHECK(first.find("$1\r\n1\r\n") != std::string::npos);
  CHECK(second.find("$1\r\n2\r\n") != std::string::npos);
  CHECK(now() < stopped_at + kill_after + kProcessDelay);
  int status = -1;
  while (::waitpid(p.pid, &status, WNOHANG) == 0 && now() < stopped_at + kill_after + kProcessDelay)
    ::usleep(5'000);
  CHECK((WIFEXITED(status) && WEXITSTATUS(status) == 0));
  if (WIFEXITED(status)) p.pid = -1;
}

TEST_CASE(
    "given a program that is reading its configuration, when it is told to reload, then it starts and "
    "reloads") {
  const SilentListener before, after;
  fakes::Ports ports;
  const int port = ports.take();
  Program p("reload", "", port);
  const auto path = p.folder / "config.json";
  Fd pipe(::open(path.c_str(), O_WRONLY | O_CLOEXEC));  // blocks until the program opens it
  REQUIRE(pipe);
  REQUIRE(::kill(p.pid, SIGHUP) == 0);
  // The file that replaces the pipe names another address of discovery.
  std::ofstream(p.folder / "new") << platform_config_json("n0", port, after.port, "",
                                                          R"({"sockets":64,"memory_mb":16})");
  std::filesystem::rename(p.folder / "new", path);
  const auto text = platform_config_json("n0", port, before.port, "", R"({"sockets":64,"memory_mb":16})");
  REQUIRE(::write(pipe.get(), text.data(), text.size()) == static_cast<ssize_t>(text.size()));
  pipe = Fd();
  for (const Seconds since = now(); !p.ready() && now() < since + 10;) ::usleep(10'000);
  CHECK(p.ready());
  pollfd pending{after.fd.get(), POLLIN, 0};
  CHECK(::poll(&pending, 1, 10'000) > 0);
}

TEST_CASE("given a reader of the log that closes or stops reading, then the program keeps running") {
  const bool reader_closes = GENERATE(true, false);
  CAPTURE(reader_closes);
  const SilentListener discovery;
  fakes::Ports ports;
  int ends[2];
  const int port = ports.take();
  REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
  Fd reader(ends[0]), writer(ends[1]);
  ::fcntl(writer.get(), F_SETPIPE_SZ, 4096);
  Program p("log", platform_config_json("n0", port, discovery.port, "", R"({"sockets":64,"memory_mb":16})"),
            port, writer.get());
  for (const Seconds since = now(); !p.ready() && now() < since + 10;) ::usleep(10'000);
  writer = Fd();
  if (reader_closes) reader = Fd();
  // Each request is answered and logged, at most five lines a second: after some seconds the unread pipe is
  // full.
  const Fd c = p.connect_client();
  std::string got;
  for (int n = 1; n <= 16 && (n == 1 || !got.empty()); ++n) {
    std::string all;
    for (int m = 0; m < 5; ++m)
      all +=
          net::resp_array_text({"EXEC", std::to_string(10 * n + m), "page", "txn=" + std::string(200, 'x')});
    got = p.read_answers(c, all, 5, 5);
    if (!reader_closes) ::usleep(500'000);
  }
  CHECK_FALSE(got.empty());
  CHECK(p.ready());
  int status = 0;
  CHECK(::waitpid(p.pid, &status, WNOHANG) == 0);
}
