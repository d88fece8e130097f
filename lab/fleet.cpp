#include "lab/fleet.h"

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

namespace walkpaddle::lab {

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

std::string object_name(int n) { return fmt::format("{:016x}", 0x2000 + n); }

std::string box_id(int n) { return fmt::format("s-{:08x}", 0xb0 + n); }

}  // namespace

Fleet::Fleet(const Setup& setup)
    : setup_(setup), chance_(setup.seed), outbox_(scheduler_, 64 << 20), switch_(setup.seed + 1) {
  program_ = std::getenv("WALKPADDLE");
  if (program_ == nullptr) throw std::runtime_error("WALKPADDLE is not set");
  folder_ = (std::filesystem::temp_directory_path() / fmt::format("walkpaddle-lab-{}", ::getpid())).string();
  std::filesystem::create_directory(folder_);
  const int servers = setup_.boxes + 2;
  for (int n = 0; n < servers; ++n)
    boxes_.push_back(std::make_unique<fakes::Server>(scheduler_, outbox_, box_id(n),
                                                     n < setup_.boxes    ? fakes::Server::Kind::cache
                                                     : n == setup_.boxes ? fakes::Server::Kind::parent
                                                                         : fakes::Server::Kind::origin,
                                                     setup_.habits));
  std::vector<fakes::Server*> all;
  for (auto& s : boxes_) all.push_back(s.get());
  for (auto& s : boxes_) s->set_sources(all);
  for (int n = 0; n < setup_.objects; ++n) boxes_.back()->change(object_name(n), {});
  routers_.resize(static_cast<std::size_t>(setup_.routers));
  for (auto& r : routers_) {
    r.port = ports_.take();
    r.fleet_port = ports_.take();
    r.bus.listener = listen_on(Address{kLoopback, 0});
    r.bus.port = fakes::local_port(r.bus.listener.get());
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

std::string Fleet::member(int box, AnnouncedState state, Seconds started) const {
  const auto& s = *boxes_[static_cast<std::size_t>(box)];
  const bool edge = box < setup_.boxes;
  return fakes::endpoint_record(std::stoul(s.id().substr(2), nullptr, 16), s.port(), state, edge ? 1 : 0,
                                edge                  ? 0
                                : box == setup_.boxes ? 1
                                                      : 2,
                                static_cast<std::uint64_t>(started * 1e3));
}

void Fleet::write_files(int n) {
  auto& r = routers_[static_cast<std::size_t>(n)];
  r.folder = fmt::format("{}/r{}", folder_, n);
  std::filesystem::create_directory(r.folder);
  std::string members;
  for (int s = 0; s < setup_.boxes + 2; ++s) {
    if (s > 0) members += ",";
    members += member_text(boxes_[static_cast<std::size_t>(s)]->id(),
                           boxes_[static_cast<std::size_t>(s)]->port(), s < setup_.boxes ? "edge" : "hub",
                           s < setup_.boxes    ? "cache"
                           : s == setup_.boxes ? "parent"
                                               : "origin");
  }
  std::ofstream(r.folder + "/config.json")
      << config_text(fmt::format("r{}", n), r.port, r.bus.port, members, R"({"sockets":128,"memory_mb":32})");
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

// Two sites turn by turn.
std::string Fleet::site_of(int n) const { return setup_.sites > 1 && n % 2 == 1 ? "west" : "east"; }

void Fleet::document(int n, const std::string& name, const std::string& text) {
  auto& r = routers_[static_cast<std::size_t>(n)];
  const auto path = fmt::format("{}/changes/{}.conf", r.folder, name);
  std::ofstream(path + ".new") << text;
  std::filesystem::rename(path + ".new", path);
  if (r.pid > 0) ::kill(r.pid, SIGHUP);
}

// What a machine's own keeper does: a router that ends by itself is started again, as its machine has it.
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
    scheduler_.start(follow(n));
    if (setup_.clients) clients(n, setup_.rate);
  }
}

void Fleet::clients(int n, double rate) {
  constexpr double kEach = 50;  // a second over one connection: its 32 open at a time last 0.6 s
  for (; rate > 0; rate -= kEach) scheduler_.start(clients_of(n, std::min(rate, kEach)));
}

void Fleet::start(int n) {
  auto& r = routers_[static_cast<std::size_t>(n)];
  if (r.pid > 0) return;
  const std::string config = r.folder + "/config.json", file = r.folder + "/walkpaddle.conf",
                    log = r.folder + "/log";
  // Made before the fork: after it, with the switch's thread about, only what is safe in a signal handler is.
  std::vector<std::string> words;
  for (char** word = environ; *word != nullptr; ++word)
    if (const std::string_view w = *word; !w.starts_with("LB_")) words.emplace_back(w);
  words.push_back("LB_CONFIG=" + config);
  if (!setup_.fault.empty()) words.push_back("WALKPADDLE_FAULT=" + setup_.fault);
  const char* program = r.program.empty() ? program_ : r.program.c_str();
  ++r.starts;
  std::vector<char*> env;
  for (auto& w : words) env.push_back(w.data());
  env.push_back(nullptr);
  const char* args[] = {program, "run", "--file", file.c_str(), nullptr};
  r.pid = ::fork();
  if (r.pid != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that ends midway leaves no router to other tests
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

void Fleet::says(int router, int box, AnnouncedState state, Seconds started) {
  frame(router, 2, member(box, state, started));
}

void Fleet::frame(int n, int kind, const std::string& payload) {
  auto& bus = routers_[static_cast<std::size_t>(n)].bus;
  bus.events.push_back(fakes::discovery_frame(bus.events.size() + 2, kind, payload));
  if (bus.stream) bus.stream->write(bus.events.back());
}

std::string Fleet::word_of(int n) const {
  const auto command =
      fmt::format("{} fleet --socket {}/s 2>&1", program_, routers_[static_cast<std::size_t>(n)].folder);
  const std::unique_ptr<FILE, int (*)(FILE*)> out(::popen(command.c_str(), "r"), &::pclose);
  std::string text;
  char room[4096];
  for (std::size_t got; out && (got = std::fread(room, 1, sizeof room, out.get())) > 0;)
    text.append(room, got);
  return text;
}

Seconds Fleet::cpu_of(int n) const {
  std::ifstream in(fmt::format("/proc/{}/stat", routers_[static_cast<std::size_t>(n)].pid));
  std::string word;
  Seconds ticks = 0;
  for (int field = 1; field <= 15 && in >> word; ++field)
    if (field >= 14) ticks += std::stod(word);  // user, system
  return ticks / static_cast<Seconds>(::sysconf(_SC_CLK_TCK));
}

std::string Fleet::log_of(int n) const {
  std::ifstream in(routers_[static_cast<std::size_t>(n)].folder + "/log");
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

// The bus of one router: a connection at a time, the newest; the router says the last event it holds. An
// empty frame every half second, as the platform's bus sends one each second at least.
Task Fleet::follow(int n) {
  auto& bus = routers_[static_cast<std::size_t>(n)].bus;
  Event wait(scheduler_);
  for (;;) {
    if (Fd fd{::accept4(bus.listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)}) {
      auto stream = std::make_unique<Stream>(scheduler_, outbox_, std::move(fd));
      const Seconds until = scheduler_.now() + 2;
      while (stream->in().size() < 8 && scheduler_.now() < until) {
        if (stream->read() == Stream::Came::end) break;
        if (stream->in().size() < 8) co_await stream->readable(until);
      }
      if (stream->in().size() >= 8) {
        std::uint64_t last = 0;
        for (int b = 0; b < 8; ++b) last = last << 8 | static_cast<unsigned char>(stream->in()[b]);
        stream->consume(8);
        for (auto n = std::max<std::uint64_t>(last, 1) - 1; n < bus.events.size(); ++n)
          stream->write(bus.events[n]);
        bus.stream = std::move(stream);
      }
      continue;
    }
    if (bus.stream) {
      while (bus.stream->read() == Stream::Came::bytes) bus.stream->consume(bus.stream->in().size());
      bus.stream->write(fakes::discovery_frame(bus.events.size() + 1, 0, ""));
    }
    co_await wait.wait(scheduler_.now() + 0.05);
  }
}

// Open-loop clients over one connection, over objects of which some are asked for more often.
Task Fleet::clients_of(int n, double rate) {
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
      const auto came = stream.read();
      if (came == Stream::Came::end) break;
      if (came == Stream::Came::bytes) {
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
          stream.write(net::resp_array_text(
              {"EXEC", t, "page",
               fmt::format("txn={:016x},limit=2000,item={},seg=0,bucket=1", ++txns_, object_name(object))}));
        }
        continue;
      }
      co_await stream.readable(next);
    }
    co_await wait.wait(scheduler_.now() + 0.05);
  }
}

}  // namespace walkpaddle::lab
