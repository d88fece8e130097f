#include "testbed/fleet.h"

#include <fcntl.h>
#include <fmt/core.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <unordered_map>

#include "base/text.h"
#include "net/resp_parser.h"
#include "tests/platform.h"

namespace walkpaddle::testbed {

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

std::string object_name(int n) { return fmt::format("{:016x}", 0x2000 + n); }

std::string server_id(int n) { return fmt::format("s-{:08x}", 0xb0 + n); }

}  // namespace

Fleet::Fleet(const Setup& setup)
    : setup_(setup), chance_(setup.seed), outbox_(scheduler_, 64 << 20), switch_(setup.seed + 1) {
  program_ = std::getenv("WALKPADDLE");
  if (program_ == nullptr) throw std::runtime_error("WALKPADDLE is not set");
  folder_ =
      (std::filesystem::temp_directory_path() / fmt::format("walkpaddle-testbed-{}", ::getpid())).string();
  std::filesystem::create_directory(folder_);
  const int servers = setup_.cache_servers + 2;
  for (int n = 0; n < servers; ++n)
    servers_.push_back(std::make_unique<fakes::Server>(scheduler_, outbox_, server_id(n),
                                                       n < setup_.cache_servers ? fakes::Server::Kind::cache
                                                       : n == setup_.cache_servers
                                                           ? fakes::Server::Kind::parent
                                                           : fakes::Server::Kind::origin,
                                                       setup_.habits));
  std::vector<fakes::Server*> all;
  for (auto& s : servers_) all.push_back(s.get());
  for (auto& s : servers_) s->set_sources(all);
  for (int n = 0; n < setup_.objects; ++n) servers_.back()->change(object_name(n), {});
  routers_.resize(static_cast<std::size_t>(setup_.routers));
  for (auto& r : routers_) {
    r.port = ports_.take();
    r.fleet_port = ports_.take();
    r.discovery.listener = listen_on(Address{kLoopback, 0});
    r.discovery.port = fakes::local_port(r.discovery.listener.get());
  }
  for (auto& r : routers_) r.peer_port = switch_.add(r.fleet_port);
  switch_.start();
  for (int n = 0; n < setup_.routers; ++n) write_files(n);
}

Fleet::~Fleet() {
  for (auto& r : routers_)
    if (r.pid > 0) ::kill(r.pid, SIGKILL), ::waitpid(r.pid, nullptr, 0);
  scheduler_.drop_tasks();
  std::filesystem::remove_all(folder_);
}

std::string Fleet::member_payload(int server, AnnouncedState state, Seconds started) const {
  const auto& s = *servers_[static_cast<std::size_t>(server)];
  const bool edge = server < setup_.cache_servers;
  return fakes::endpoint_record(std::stoul(s.id().substr(2), nullptr, 16), s.port(), state, edge ? 1 : 0,
                                edge                             ? 0
                                : server == setup_.cache_servers ? 1
                                                                 : 2,
                                static_cast<std::uint64_t>(started * 1e3));
}

void Fleet::write_files(int n) {
  auto& r = routers_[static_cast<std::size_t>(n)];
  r.folder = fmt::format("{}/r{}", folder_, n);
  std::filesystem::create_directory(r.folder);
  std::string members;
  for (int s = 0; s < setup_.cache_servers + 2; ++s) {
    if (s > 0) members += ",";
    members += endpoint_json(servers_[static_cast<std::size_t>(s)]->id(),
                             servers_[static_cast<std::size_t>(s)]->port(),
                             s < setup_.cache_servers ? "edge" : "hub",
                             s < setup_.cache_servers    ? "cache"
                             : s == setup_.cache_servers ? "parent"
                                                         : "origin");
  }
  std::ofstream(r.folder + "/config.json") << platform_config_json(
      fmt::format("r{}", n), r.port, r.discovery.port, members, R"({"sockets":128,"memory_mb":32})");
  if (setup_.store) std::filesystem::create_directory(r.folder + "/store");
  std::ofstream file(r.folder + "/walkpaddle.conf");
  if (!setup_.share) return;
  file << fmt::format(
      "fleet {{\n name = \"r{}\"\n listen = \"127.0.0.1:{}\"\n purges = false\n share = true\n", n,
      r.fleet_port);
  for (int p = 0; p < setup_.routers; ++p)
    if (p != n)
      file << fmt::format(" peer \"r{}\" {{\n address = \"127.0.0.1:{}\"\n site = \"{}\"\n}}\n", p,
                          routers_[static_cast<std::size_t>(p)].peer_port, site_of(p));
  file << "}\n";
  if (setup_.changes && n != setup_.without) {
    std::filesystem::create_directory(r.folder + "/changes");
    file << fmt::format("changes {{\n folder = \"{}/changes\"\n site = \"{}\"\n generation = \"g1\"\n",
                        r.folder, site_of(n));
    if (!setup_.protocol.empty()) file << fmt::format(" protocol = \"{}\"\n", setup_.protocol);
    file << "}\n";
  }
  file << fmt::format("control {{ socket = \"{}/s\" }}\n", r.folder);
  if (setup_.store) file << fmt::format("store {{\n folder = \"{}/store\"\n megabytes = 16\n}}\n", r.folder);
}

// Odd routers are in the second site, if there is one.
std::string Fleet::site_of(int n) const { return setup_.sites > 1 && n % 2 == 1 ? "west" : "east"; }

void Fleet::write_document(int n, const std::string& name, const std::string& text) {
  auto& r = routers_[static_cast<std::size_t>(n)];
  const auto path = fmt::format("{}/changes/{}.conf", r.folder, name);
  std::ofstream(path + ".new") << text;
  std::filesystem::rename(path + ".new", path);
  if (r.pid > 0) ::kill(r.pid, SIGHUP);
}

// Starts routers that exit again, as a process supervisor does.
Task Fleet::supervise() {
  Event wait(scheduler_);
  for (;;) {
    co_await wait.wait(scheduler_.now() + 0.2);
    for (int n = 0; n < setup_.routers; ++n) {
      auto& r = routers_[static_cast<std::size_t>(n)];
      if (r.pid <= 0 || ::waitpid(r.pid, nullptr, WNOHANG) != r.pid) continue;
      r.pid = -1;
      start(n);
    }
  }
}

void Fleet::start_all() {
  if (setup_.changes) scheduler_.start(supervise());
  for (int n = 0; n < setup_.routers; ++n) {
    start(n);
    scheduler_.start(serve_discovery(n));
    if (setup_.clients) clients(n, setup_.rate);
  }
}

void Fleet::clients(int n, double rate) {
  constexpr double kRatePerConnection = 50;  // per second; 32 outstanding requests then cover 0.6 s
  for (; rate > 0; rate -= kRatePerConnection)
    scheduler_.start(run_clients(n, std::min(rate, kRatePerConnection)));
}

void Fleet::start(int n) {
  auto& r = routers_[static_cast<std::size_t>(n)];
  if (r.pid > 0) return;
  const std::string config = r.folder + "/config.json", file = r.folder + "/walkpaddle.conf",
                    log = r.folder + "/log";
  // The environment is built before fork(): the switch runs a thread, so only async-signal-safe calls are
  // allowed between fork() and execve().
  std::vector<std::string> variables;
  for (char** variable = environ; *variable != nullptr; ++variable)
    if (const std::string_view w = *variable; !w.starts_with("LB_")) variables.emplace_back(w);
  variables.push_back("LB_CONFIG=" + config);
  if (!setup_.fault.empty()) variables.push_back("WALKPADDLE_FAULT=" + setup_.fault);
  const char* program = r.program.empty() ? program_ : r.program.c_str();
  ++r.starts;
  std::vector<char*> env;
  for (auto& w : variables) env.push_back(w.data());
  env.push_back(nullptr);
  const char* args[] = {program, "run", "--file", file.c_str(), nullptr};
  r.pid = ::fork();
  if (r.pid != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no router outlives a test that ends early
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(out, 1), ::dup2(out, 2);
  ::execve(program, const_cast<char* const*>(args), env.data());
  ::_exit(127);
}

void Fleet::kill(int n) {
  auto& r = routers_[static_cast<std::size_t>(n)];
  if (r.pid <= 0) return;
  ::kill(r.pid, SIGKILL), ::waitpid(r.pid, nullptr, 0);
  r.pid = -1;
}

void Fleet::stall(int n, bool stalled) {
  if (const auto pid = routers_[static_cast<std::size_t>(n)].pid; pid > 0)
    ::kill(pid, stalled ? SIGSTOP : SIGCONT);
}

void Fleet::cut(int a, int b, Seconds until) { switch_.cut(a, b, until), switch_.cut(b, a, until); }

void Fleet::publish_state(int router, int server, AnnouncedState state, Seconds started) {
  send_event(router, 2, member_payload(server, state, started));
}

void Fleet::send_event(int n, int kind, const std::string& payload) {
  auto& discovery = routers_[static_cast<std::size_t>(n)].discovery;
  discovery.events.push_back(fakes::discovery_frame(discovery.events.size() + 2, kind, payload));
  if (discovery.stream) discovery.stream->write(discovery.events.back());
}

std::string Fleet::fleet_status(int n) const {
  const auto command =
      fmt::format("{} fleet --socket {}/s 2>&1", program_, routers_[static_cast<std::size_t>(n)].folder);
  const std::unique_ptr<FILE, int (*)(FILE*)> out(::popen(command.c_str(), "r"), &::pclose);
  std::string text;
  char buffer[4096];
  for (std::size_t got; out && (got = std::fread(buffer, 1, sizeof buffer, out.get())) > 0;)
    text.append(buffer, got);
  return text;
}

Seconds Fleet::cpu_of(int n) const {
  std::ifstream in(fmt::format("/proc/{}/stat", routers_[static_cast<std::size_t>(n)].pid));
  std::string value;
  Seconds ticks = 0;
  for (int field = 1; field <= 15 && in >> value; ++field)
    if (field >= 14) ticks += std::stod(value);  // user and system time
  return ticks / static_cast<Seconds>(::sysconf(_SC_CLK_TCK));
}

std::string Fleet::log_of(int n) const {
  std::ifstream in(routers_[static_cast<std::size_t>(n)].folder + "/log");
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

// The discovery server of one router. It serves the newest connection only, on which the router first sends
// the number of the last event that it has. An empty frame is sent after each pause of 50 ms; the platform
// sends one every second at least.
Task Fleet::serve_discovery(int n) {
  auto& discovery = routers_[static_cast<std::size_t>(n)].discovery;
  Event wait(scheduler_);
  for (;;) {
    if (Fd fd{::accept4(discovery.listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)}) {
      auto stream = std::make_unique<Stream>(scheduler_, outbox_, std::move(fd));
      const Seconds until = scheduler_.now() + 2;
      while (stream->in().size() < 8 && scheduler_.now() < until) {
        if (stream->read() == Stream::ReadResult::end) break;
        if (stream->in().size() < 8) co_await stream->readable(until);
      }
      if (stream->in().size() >= 8) {
        std::uint64_t last = 0;
        for (int b = 0; b < 8; ++b) last = last << 8 | static_cast<unsigned char>(stream->in()[b]);
        stream->consume(8);
        for (auto n = std::max<std::uint64_t>(last, 1) - 1; n < discovery.events.size(); ++n)
          stream->write(discovery.events[n]);
        discovery.stream = std::move(stream);
      }
      continue;
    }
    if (discovery.stream) {
      while (discovery.stream->read() == Stream::ReadResult::bytes)
        discovery.stream->consume(discovery.stream->in().size());
      discovery.stream->write(fakes::discovery_frame(discovery.events.size() + 1, 0, ""));
    }
    co_await wait.wait(scheduler_.now() + 0.05);
  }
}

// Open-loop clients on one connection; objects with low numbers are requested more often.
Task Fleet::run_clients(int n, double rate) {
  auto& r = routers_[static_cast<std::size_t>(n)];
  Event wait(scheduler_);
  std::uniform_real_distribution<> roll(0, 1);
  for (;;) {
    if (r.pid <= 0) {
      co_await wait.wait(scheduler_.now() + 0.05);
      continue;
    }
    Fd fd = dial(Address{kLoopback, static_cast<std::uint16_t>(r.port)});
    if (!fd) {
      co_await wait.wait(scheduler_.now() + 0.05);
      continue;
    }
    Stream stream(scheduler_, outbox_, std::move(fd));
    co_await stream.writable(scheduler_.now() + 0.5);
    std::unordered_map<std::string, Seconds> open;
    int tag = 0;
    for (Seconds next = scheduler_.now(); r.pid > 0;) {
      const auto received = stream.read();
      if (received == Stream::ReadResult::end) break;
      if (received == Stream::ReadResult::bytes) {
        net::RespArray words;
        for (;;) {
          net::read_resp_array(stream.in(), 8, 1 << 20, words);
          if (words.used == 0) break;
          const auto& w = words.words;
          if (open.erase(std::string(w[0])) > 0) ++(w[1] == "RESULT" ? r.counts.answered : r.counts.refused);
          stream.consume(words.used);
        }
        continue;
      }
      if (scheduler_.now() >= next) {
        next = std::max(next + 1 / rate, scheduler_.now() - 0.1);
        if (open.size() >= 32) {
          ++r.counts.unsent;
        } else {
          const int object = static_cast<int>(setup_.objects * roll(chance_) * roll(chance_));
          const auto t = std::to_string(++tag);
          open[t] = scheduler_.now(), ++r.counts.asked;
          stream.write(net::resp_array_text({"EXEC", t, "page",
                                             fmt::format("txn={:016x},limit=2000,item={},seg=0,bucket=1",
                                                         ++requests_, object_name(object))}));
        }
        continue;
      }
      co_await stream.readable(next);
    }
    co_await wait.wait(scheduler_.now() + 0.05);
  }
}

}  // namespace walkpaddle::testbed
