// The program as a process on loopback, for tests of its whole life. WALKPADDLE is the path of the program.
#pragma once

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

#include "fakes/servers.h"
#include "net/resp_parser.h"

namespace walkpaddle {

// The steady clock, in seconds.
inline Seconds now() {
  return std::chrono::duration<Seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// A listener whose connections are established by the kernel, but never accepted.
struct SilentListener {
  SilentListener() : fd(listen_on(Address{INADDR_LOOPBACK, 0})), port(fakes::local_port(fd.get())) {}
  Fd fd;
  int port;
};

// The program, started with a configuration; ended with the object.
struct Program {
  // If `config` is empty, the configuration file is a named pipe, and the program waits for it to be written.
  // `log`: a descriptor for standard error; by default that goes to a file. `operator_config`: the text of
  // the operator's file; empty: none. FOLDER in it stands for the program's folder.
  Program(const std::string& name, const std::string& config, int listen_port, int log = -1,
          std::string operator_config = "")
      : port(listen_port) {
    folder = std::filesystem::temp_directory_path() / fmt::format("walkpaddle-{}-{}", name, ::getpid());
    std::filesystem::create_directory(folder);
    if (config.empty())
      REQUIRE(::mkfifo((folder / "config.json").c_str(), 0600) == 0);
    else
      std::ofstream(folder / "config.json") << config;
    for (auto at = operator_config.find("FOLDER"); at != std::string::npos;
         at = operator_config.find("FOLDER"))
      operator_config.replace(at, 6, folder.string());
    std::ofstream(folder / "walkpaddle.conf") << operator_config;
    const char* program = std::getenv("WALKPADDLE");
    REQUIRE(program != nullptr);
    pid = ::fork();
    if (pid != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("LB_CONFIG", (folder / "config.json").c_str(), 1);
    ::unsetenv("LB_LISTEN");
    if (!operator_config.empty()) ::setenv("WALKPADDLE_FILE", (folder / "walkpaddle.conf").c_str(), 1);
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

// Peak resident memory of a process in MB (2^20 bytes); 0 once it has ended.
inline double peak_memory_mb(pid_t pid) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / 1024;
  return 0;
}

}  // namespace walkpaddle
