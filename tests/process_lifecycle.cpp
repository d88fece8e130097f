// Starts and planned ends of the program as processes; WALKPADDLE names the program.
#define CATCH_CONFIG_MAIN
#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/core.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "base/text.h"
#include "fakes/servers.h"
#include "net/resp_parser.h"
#include "platform.h"

using namespace walkpaddle;

namespace {

constexpr Seconds kBusy = 1;  // beyond the platform's times: what a busy machine may take to run a process

Seconds now() {
  return std::chrono::duration<Seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Its backlog takes the first callers, and nobody ever accepts them.
struct Deaf {
  Deaf() : fd(listen_on(Address{INADDR_LOOPBACK, 0})), port(fakes::local_port(fd.get())) {}
  Fd fd;
  int port;
};

struct Program {
  // Without a configuration its file is a pipe, in which the start waits.
  // log: where its lines go, a file if none is given.
  Program(const std::string& name, const std::string& config, int listens, int log = -1) : port(listens) {
    folder = std::filesystem::temp_directory_path() / fmt::format("walkpaddle-{}-{}", name, ::getpid());
    std::filesystem::create_directory(folder);
    if (config.empty())
      REQUIRE(::mkfifo((folder / "config.json").c_str(), 0600) == 0);
    else
      std::ofstream(folder / "config.json") << config;
    const char* program = std::getenv("WALKPADDLE");
    REQUIRE(program != nullptr);
    pid = ::fork();
    if (pid != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("LB_CONFIG", (folder / "config.json").c_str(), 1);
    ::unsetenv("LB_LISTEN");
    ::dup2(log >= 0 ? log : ::open((folder / "log").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600), 2);
    ::execl(program, program, nullptr);
    ::_exit(127);
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  ~Program() {
    if (pid > 0) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
    std::filesystem::remove_all(folder);
  }
  // Connected, or nothing while nobody listens.
  Fd call() const {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in a{};
    a.sin_family = AF_INET, a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) return Fd();
    return fd;
  }
  bool ready() const {
    const Fd fd = call();
    return fd &&
           said(fd, net::resp_array_text({"ALIVE", "1", ""}), 1).find("\r\nREADY\r\n") != std::string::npos;
  }
  // All that comes for a message until its end, or that many answers.
  static std::string said(const Fd& fd, const std::string& message, int answers, Seconds most = 10) {
    std::string all;
    if (!message.empty() && ::send(fd.get(), message.data(), message.size(), MSG_NOSIGNAL) < 0) return all;
    net::RespArray words;
    for (const Seconds until = now() + most; now() < until;) {
      int whole = 0;
      for (std::string_view rest = all;; ++whole) {
        net::read_resp_array(rest, 8, 1 << 20, words);
        if (words.used == 0) break;
        rest.remove_prefix(words.used);
      }
      if (whole >= answers) break;
      pollfd p{fd.get(), POLLIN, 0};
      if (::poll(&p, 1, 50) <= 0) continue;
      char room[4096];
      const auto got = ::recv(fd.get(), room, sizeof room, 0);
      if (got <= 0) break;
      all.append(room, static_cast<std::size_t>(got));
    }
    return all;
  }
  std::filesystem::path folder;
  int port;
  pid_t pid = -1;
};

std::string exec(int n) {
  return net::resp_array_text(
      {"EXEC", std::to_string(n), "page",
       fmt::format("txn={:016x},limit=60000,item=7f3a9c21e0b4d655,seg=0,bucket=17", n)});
}

void put(std::string& text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE(
    "given discovery that is down and much that is known, when forty start at once, then all are ready") {
  const Deaf bus;
  fakes::Ports ports;
  std::string members, events;
  for (int n = 0; n < 200; ++n)
    members += fmt::format("{}{}", n > 0 ? "," : "",
                           member_text(fmt::format("s-{:08x}", n), 9, n < 190 ? "edge" : "hub",
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
    auto config =
        config_text(fmt::format("n{}", n), port, bus.port, members, R"({"sockets":512,"memory_mb":48})");
    put(config, R"(]}}]})", R"(]}})" + events + "]}");
    put(config, R"("known":{"offset":1)", R"("known":{"offset":2001)");
    programs.push_back(std::make_unique<Program>(fmt::format("start{}", n), config, port));
  }
  int ready = 0;
  for (const auto& p : programs) {
    while (!p->ready() && now() < started + 30) ::usleep(10'000);
    ready += now() < started + 10;
  }
  CHECK(ready >= 36);  // nine in ten
}

TEST_CASE(
    "given a site's longest time limit, when the program is told to end, then all is answered before the "
    "kill") {
  const int limit_ms = GENERATE(400, 2000, 20000);
  CAPTURE(limit_ms);
  const Seconds kill_after = std::min(3.0, limit_ms / 1e3) + 0.7;
  const Deaf bus, cache;
  fakes::Ports ports;
  const int port = ports.take();
  auto config = config_text("n0", port, bus.port,
                            member_text("s-00000001", cache.port, "edge", "cache") + "," +
                                member_text("s-00000002", cache.port, "hub", "parent") + "," +
                                member_text("s-00000003", cache.port, "hub", "origin"),
                            R"({"sockets":128,"memory_mb":32})");
  put(config, R"("deadline":2000)", fmt::format(R"("deadline":{})", limit_ms));
  put(config, R"("deadline":4000)", fmt::format(R"("deadline":{})", limit_ms));
  Program p("end", config, port);
  for (const Seconds since = now(); !p.ready() && now() < since + 30;) ::usleep(10'000);
  const Fd old = p.call(), fresh = p.call();
  REQUIRE(::send(old.get(), exec(1).data(), exec(1).size(), MSG_NOSIGNAL) > 0);
  pollfd asked{cache.fd.get(), POLLIN, 0};
  REQUIRE(::poll(&asked, 1, 10'000) > 0);  // its hop is on its way, and nobody will answer it
  const Seconds told = now();
  REQUIRE(::kill(p.pid, SIGTERM) == 0);
  // As the front does: new connections for 0.4 s more, requests on them 0.2 s after that.
  ::usleep(400'000);
  const Fd late = p.call();
  REQUIRE(late);
  ::usleep(150'000);
  REQUIRE(::send(late.get(), exec(2).data(), exec(2).size(), MSG_NOSIGNAL) > 0);
  const auto first = p.said(old, "", 1), second = p.said(late, "", 1);
  CHECK(first.find("$1\r\n1\r\n") != std::string::npos);
  CHECK(second.find("$1\r\n2\r\n") != std::string::npos);
  CHECK(now() < told + kill_after + kBusy);
  int status = -1;
  while (::waitpid(p.pid, &status, WNOHANG) == 0 && now() < told + kill_after + kBusy) ::usleep(5'000);
  CHECK((WIFEXITED(status) && WEXITSTATUS(status) == 0));
  if (WIFEXITED(status)) p.pid = -1;
}

TEST_CASE(
    "given a start that reads its configuration, when it is told to reload, then it starts and reloads") {
  const Deaf before, after;
  fakes::Ports ports;
  const int port = ports.take();
  Program p("word", "", port);
  const auto path = p.folder / "config.json";
  Fd pipe(::open(path.c_str(), O_WRONLY | O_CLOEXEC));  // until the program reads
  REQUIRE(pipe);
  REQUIRE(::kill(p.pid, SIGHUP) == 0);
  // What stands in the file from now on names another bus.
  std::ofstream(p.folder / "new") << config_text("n0", port, after.port, "",
                                                 R"({"sockets":64,"memory_mb":16})");
  std::filesystem::rename(p.folder / "new", path);
  const auto text = config_text("n0", port, before.port, "", R"({"sockets":64,"memory_mb":16})");
  REQUIRE(::write(pipe.get(), text.data(), text.size()) == static_cast<ssize_t>(text.size()));
  pipe = Fd();
  for (const Seconds since = now(); !p.ready() && now() < since + 10;) ::usleep(10'000);
  CHECK(p.ready());
  pollfd called{after.fd.get(), POLLIN, 0};
  CHECK(::poll(&called, 1, 10'000) > 0);
}

TEST_CASE("given a reader of the log that goes, or stands still, then the program goes on") {
  const bool goes = GENERATE(true, false);
  CAPTURE(goes);
  const Deaf bus;
  fakes::Ports ports;
  int ends[2];
  const int port = ports.take();
  REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
  Fd reader(ends[0]), writer(ends[1]);
  ::fcntl(writer.get(), F_SETPIPE_SZ, 4096);
  Program p("log", config_text("n0", port, bus.port, "", R"({"sockets":64,"memory_mb":16})"), port,
            writer.get());
  for (const Seconds since = now(); !p.ready() && now() < since + 10;) ::usleep(10'000);
  writer = Fd();
  if (goes) reader = Fd();
  // Each is answered and logged, five lines a second: some seconds fill what nobody reads.
  const Fd c = p.call();
  std::string got;
  for (int n = 1; n <= 16 && (n == 1 || !got.empty()); ++n) {
    std::string all;
    for (int m = 0; m < 5; ++m)
      all +=
          net::resp_array_text({"EXEC", std::to_string(10 * n + m), "page", "txn=" + std::string(200, 'x')});
    got = p.said(c, all, 5, 5);
    if (!goes) ::usleep(500'000);
  }
  CHECK_FALSE(got.empty());
  CHECK(p.ready());
  int status = 0;
  CHECK(::waitpid(p.pid, &status, WNOHANG) == 0);
}
