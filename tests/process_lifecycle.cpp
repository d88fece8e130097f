// Starts, reloads and graceful shutdowns of the program as a process. WALKPADDLE is the path of the program.
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

// Added to the platform's time limits: the delay with which a busy machine may run a process.
constexpr Seconds kProcessDelay = 1;

Seconds now() {
  return std::chrono::duration<Seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// A listener whose connections are established by the kernel, but never accepted.
struct SilentListener {
  SilentListener() : fd(listen_on(Address{INADDR_LOOPBACK, 0})), port(fakes::local_port(fd.get())) {}
  Fd fd;
  int port;
};

struct Program {
  // If `config` is empty, the configuration file is a named pipe, and the program waits for it to be written.
  // `log`: a descriptor for standard error; by default that goes to a file.
  Program(const std::string& name, const std::string& config, int listen_port, int log = -1)
      : port(listen_port) {
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
  // A new connection to the program, empty while it does not listen.
  Fd connect_client() const {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in a{};
    a.sin_family = AF_INET, a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) return Fd();
    return fd;
  }
  bool ready() const {
    const Fd fd = connect_client();
    return fd && read_answers(fd, net::resp_array_text({"ALIVE", "1", ""}), 1).find("\r\nREADY\r\n") !=
                     std::string::npos;
  }
  // Sends a message and reads until `answers` answers are complete, the connection ends or `timeout` passes.
  static std::string read_answers(const Fd& fd, const std::string& message, int answers,
                                  Seconds timeout = 10) {
    std::string all;
    if (!message.empty() && ::send(fd.get(), message.data(), message.size(), MSG_NOSIGNAL) < 0) return all;
    net::RespArray words;
    for (const Seconds until = now() + timeout; now() < until;) {
      int complete = 0;
      for (std::string_view rest = all;; ++complete) {
        net::read_resp_array(rest, 8, 1 << 20, words);
        if (words.used == 0) break;
        rest.remove_prefix(words.used);
      }
      if (complete >= answers) break;
      pollfd p{fd.get(), POLLIN, 0};
      if (::poll(&p, 1, 50) <= 0) continue;
      char buffer[4096];
      const auto got = ::recv(fd.get(), buffer, sizeof buffer, 0);
      if (got <= 0) break;
      all.append(buffer, static_cast<std::size_t>(got));
    }
    return all;
  }
  std::filesystem::path folder;
  int port;
  pid_t pid = -1;
};

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
