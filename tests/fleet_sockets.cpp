// Three routers as processes, six boxes, a parent and an origin as stand-ins, links that can be cut, clients
// and operators; faults from a seed. Every answer is checked against the purge times: once a purge was
// accepted for longer than the promised delay, no answer brings a version from before it.
//   fleet_sockets [SEED [SECONDS]]     figures go to standard error
//   fleet_sockets measure              accept to in force at three routers, calm
//   fleet_sockets cut                  fills while every router is alone
#include <fcntl.h>
#include <fmt/core.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <unordered_map>

#include "base/error.h"
#include "base/text.h"
#include "fakes/servers.h"
#include "net/resp_parser.h"
#include "platform.h"

using namespace walkpaddle;
using fakes::Relay, fakes::Server;

namespace {

constexpr int kRouters = 3, kBoxes = 6, kObjects = 60;
constexpr Seconds kLease = 1;
// Beyond the promise: what this process and the kernel may take on a busy machine to bring an answer here.
constexpr Seconds kSlack = 1;
constexpr std::uint32_t kLoopback = 0x7f000001;

std::string object_name(int n) { return fmt::format("{:016x}", 0x1000 + n); }
std::string tag_name(int n) { return fmt::format("contract{}", n % 7); }

struct Router {
  int port = 0, fleet_port = 0;
  pid_t pid = -1;
  Seconds again_at = -1, stopped_until = -1;
  std::string folder;
};

struct Purge {
  std::map<int, int> versions;  // of the objects it covers, from then on
  pid_t pid = -1;
  Seconds issued = 0, accepted = -1;
};

struct Asked {
  int object = 0;
  Seconds at = 0;
};

class Play {
 public:
  Play(unsigned seed, Seconds length) : chance_(seed), length_(length), outbox_(scheduler_, 64 << 20) {
    program_ = std::getenv("WALKPADDLE");
    if (program_ == nullptr) throw std::runtime_error("WALKPADDLE is not set");
    folder_ =
        (std::filesystem::temp_directory_path() / fmt::format("walkpaddle-fleet-{}", ::getpid())).string();
    std::filesystem::create_directory(folder_);
    for (int n = 0; n < kBoxes + 2; ++n)
      servers_.push_back(std::make_unique<Server>(scheduler_, outbox_, fmt::format("s-{:08x}", 0xc0 + n),
                                                  n < kBoxes    ? Server::Kind::cache
                                                  : n == kBoxes ? Server::Kind::parent
                                                                : Server::Kind::origin,
                                                  Server::Options{}));
    std::vector<Server*> all;
    for (auto& s : servers_) all.push_back(s.get());
    for (auto& s : servers_) s->set_sources(all);
    for (int n = 0; n < kObjects; ++n) origin().change(object_name(n), tags_of(n));
    routers_.resize(kRouters);
    for (auto& r : routers_) r.port = ports_.take(), r.fleet_port = ports_.take();
    for (int a = 0; a < kRouters; ++a)
      for (int b = a + 1; b < kRouters; ++b)
        relays_[{a, b}] = std::make_unique<Relay>(scheduler_, outbox_, routers_[b].fleet_port);
    for (int n = 0; n < kRouters; ++n) write_files(n), start(n);
  }
  ~Play() {
    for (auto& r : routers_)
      if (r.pid > 0) ::kill(r.pid, SIGKILL), ::waitpid(r.pid, nullptr, 0);
    scheduler_.drop_tasks();
    std::filesystem::remove_all(folder_);
  }

  bool run() {
    scheduler_.start(direct());
    for (int n = 0; n < kRouters; ++n) scheduler_.start(clients_of(n));
    scheduler_.run();
    return report();
  }

  void measure_cut() {
    scheduler_.start(time_cut());
    for (int n = 0; n < kRouters; ++n) scheduler_.start(clients_of(n));
    scheduler_.run();
  }

  void measure(int purges) {
    scheduler_.start(time_purges(purges));
    for (int n = 0; n < kRouters; ++n) scheduler_.start(clients_of(n));
    scheduler_.run();
    std::ranges::sort(spread_);
    const auto at = [&](double share) {
      return 1e3 * spread_[static_cast<std::size_t>(share * double(spread_.size() - 1))];
    };
    std::uint64_t bytes = 0;
    for (const auto& [pair, relay] : relays_) bytes += relay->bytes_passed();
    std::printf(
        "%zu purges, issue to held by all three: median %.1f ms, 99th %.1f, worst %.1f; %.0f bytes between "
        "routers a second\n",
        spread_.size(), at(0.5), at(0.99), at(1), double(bytes) / (scheduler_.now() - began_));
  }

 private:
  Server& origin() { return *servers_[kBoxes + 1]; }
  double roll() { return std::uniform_real_distribution<>(0, 1)(chance_); }
  static std::vector<std::string> tags_of(int object) { return {tag_name(object), tag_name(object / 3)}; }

  void write_files(int n) {
    auto& r = routers_[n];
    r.folder = fmt::format("{}/r{}", folder_, n);
    std::filesystem::create_directory(r.folder);
    std::string members;
    for (int s = 0; s < kBoxes + 2; ++s) {
      if (s > 0) members += ",";
      members += member_text(servers_[s]->id(), servers_[s]->port(), s < kBoxes ? "edge" : "hub",
                             s < kBoxes    ? "cache"
                             : s == kBoxes ? "parent"
                                           : "origin");
    }
    std::ofstream(r.folder + "/config.json")
        << config_text(fmt::format("r{}", n), r.port, 0, members, R"({"sockets":128,"memory_mb":32})");
    std::ofstream file(r.folder + "/walkpaddle.conf");
    file << fmt::format(
        "fleet {{\n name = \"r{}\"\n listen = \"127.0.0.1:{}\"\n lease = {}\n copy_life = 1000\n", n,
        r.fleet_port, kLease);
    for (int p = 0; p < kRouters; ++p)
      if (p != n)
        file << fmt::format(" peer \"r{}\" {{ address = \"127.0.0.1:{}\" }}\n", p,
                            p > n ? relays_[{n, p}]->port() : routers_[p].fleet_port);
    file << fmt::format(
        "}}\nstore {{ folder = \"{0}/store\" }}\ncontrol {{ socket = \"{0}/control\" }}\nboxes {{ "
        "tell_purges = true }}\n",
        r.folder);
  }

  pid_t spawn(const std::vector<std::string>& words, const std::string& folder, const std::string& output) {
    // Before the fork: a process without its log would write among this test's lines.
    const Fd out(::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    if (!out) throw SystemError(output, errno);
    most_fd_ = std::max(most_fd_, out.get());
    const pid_t pid = ::fork();
    if (pid != 0) return pid;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that ends midway leaves no router to other tests
    ::setenv("LB_CONFIG", (folder + "/config.json").c_str(), 1);
    ::unsetenv("LB_LISTEN");
    ::dup2(out.get(), 1), ::dup2(out.get(), 2);
    std::vector<char*> args{const_cast<char*>(program_)};
    for (const auto& w : words) args.push_back(const_cast<char*>(w.c_str()));
    args.push_back(nullptr);
    ::execv(program_, args.data());
    ::_exit(127);
  }

  void start(int n) {
    auto& r = routers_[n];
    r.pid = spawn({"run", "--file", r.folder + "/walkpaddle.conf"}, r.folder, folder_ + "/log");
    r.again_at = -1;
  }

  // ---- clients -------------------------------------------------------------------------------------------

  Task clients_of(int n) {
    Event wait(scheduler_);
    for (;;) {
      if (Fd fd = dial(Address{kLoopback, static_cast<std::uint16_t>(routers_[n].port)})) {
        Stream stream(scheduler_, outbox_, std::move(fd));
        co_await stream.writable(scheduler_.now() + 0.5);
        std::unordered_map<std::string, Asked> open;
        int tag = 0;
        for (Seconds next = scheduler_.now(); !over_;) {
          const auto came = stream.read();
          if (came == Stream::Came::end) break;
          if (came == Stream::Came::bytes) {
            take(stream, open);
            continue;
          }
          if (scheduler_.now() >= next) {
            // Open-loop, up to what a connection may have open.
            next += 0.004;
            if (next < scheduler_.now() - 0.1) next = scheduler_.now();
            if (open.size() < 32) ask(stream, open, std::to_string(++tag));
            continue;
          }
          co_await stream.readable(next);
        }
        if (over_)
          lost_ += static_cast<int>(
              std::ranges::count_if(open, [&](const auto& o) { return o.second.at < scheduler_.now() - 4; }));
      }
      if (over_) co_return;
      co_await wait.wait(scheduler_.now() + 0.05);
    }
  }

  void ask(Stream& stream, std::unordered_map<std::string, Asked>& open, const std::string& tag) {
    const int object = static_cast<int>(kObjects * roll() * roll());  // some are asked for more often
    open[tag] = {object, scheduler_.now()};
    stream.write(net::resp_array_text(
        {"EXEC", tag, "page",
         fmt::format("txn={:016x},limit=2000,item={},seg=0,bucket=1", ++txns_, object_name(object))}));
  }

  void take(Stream& stream, std::unordered_map<std::string, Asked>& open) {
    net::RespArray words;
    for (;;) {
      net::read_resp_array(stream.in(), 8, 1 << 20, words);
      if (words.used == 0) return;
      const auto& w = words.words;
      const auto it = open.find(std::string(w[0]));
      if (it == open.end()) {
        ++twice_;
      } else {
        if (w[1] == "RESULT" && w.size() >= 3) check(it->second.object, parse<int>(w.back(), "version"));
        if (w[1] != "RESULT") ++refused_;
        open.erase(it);
      }
      stream.consume(words.used);
    }
  }

  void check(int object, int version) {
    ++answers_;
    const Seconds now = scheduler_.now();
    int least = 0;
    for (const auto& p : purges_)
      if (const auto it = p.versions.find(object);
          it != p.versions.end() && p.accepted >= 0 && now > p.accepted + kLease + kSlack)
        least = std::max(least, it->second);
    if (version < least) ++old_;
    if (version < origin().version(object_name(object))) ++stale_meanwhile_;
  }

  // ---- operators and faults ------------------------------------------------------------------------------

  void issue() {
    const int at = static_cast<int>(chance_() % kRouters);
    const double kind = roll();
    std::vector<std::string> words{"purge", "--socket", routers_[at].folder + "/control"};
    std::vector<int> covered;
    if (kind < 0.4) {
      const int tag = static_cast<int>(chance_() % 7);
      for (int o = 0; o < kObjects; ++o)
        if (o % 7 == tag || o / 3 % 7 == tag) covered.push_back(o);
      words.insert(words.end(), {"tag", tag_name(tag)});
    } else if (kind < 0.6) {
      const int digit = static_cast<int>(chance_() % 4);
      for (int o = 0; o < kObjects; ++o)
        if ((0x1000 + o) >> 4 == (0x100 | digit)) covered.push_back(o);
      words.insert(words.end(), {"pattern", fmt::format("0*10{}[0-9a-f]", digit)});
    } else {
      covered.push_back(static_cast<int>(kObjects * roll() * roll()));
      words.insert(words.end(), {"object", object_name(covered[0])});
    }
    words.insert(words.end(), {"--within", "6"});
    Purge p;
    p.issued = scheduler_.now();
    for (const int o : covered) {
      origin().change(object_name(o), tags_of(o));
      p.versions[o] = origin().version(object_name(o));
    }
    p.pid = spawn(words, routers_[at].folder, folder_ + "/operators");
    purges_.push_back(std::move(p));
  }

  void look() {
    for (auto& p : purges_)
      if (int status = 0; p.pid > 0 && ::waitpid(p.pid, &status, WNOHANG) == p.pid) {
        p.pid = -1;
        if (WIFEXITED(status) && WEXITSTATUS(status) == 0) p.accepted = scheduler_.now();
      }
    for (int n = 0; n < kRouters; ++n) {
      auto& r = routers_[n];
      if (r.again_at >= 0 && scheduler_.now() >= r.again_at) start(n);
      if (r.stopped_until >= 0 && scheduler_.now() >= r.stopped_until)
        ::kill(r.pid, SIGCONT), r.stopped_until = -1;
    }
  }

  void fault() {
    const double what = roll();
    const Seconds now = scheduler_.now();
    auto& r = routers_[chance_() % kRouters];
    auto& box = *servers_[chance_() % (kBoxes + 1)];
    if (what < 0.25) {
      box.freeze(now + 3 * roll());
    } else if (what < 0.45) {
      box.restart_cold();
    } else if (what < 0.6) {
      if (r.pid <= 0 || r.again_at >= 0) return;
      ::kill(r.pid, SIGKILL), ::waitpid(r.pid, nullptr, 0);
      r.pid = -1, r.again_at = now + roll(), r.stopped_until = -1;
    } else if (what < 0.75) {
      if (r.pid <= 0) return;
      ::kill(r.pid, SIGSTOP), r.stopped_until = now + 2.5 * roll();
    } else {
      auto it = relays_.begin();
      std::advance(it, static_cast<int>(chance_() % relays_.size()));
      it->second->cut(now + 4 * roll());
    }
  }

  Task direct() {
    Event wait(scheduler_);
    began_ = scheduler_.now();
    co_await wait.wait(began_ + 1.5);
    Seconds next_fault = scheduler_.now(), next_purge = scheduler_.now();
    while (scheduler_.now() < began_ + length_) {
      const Seconds now = scheduler_.now();
      look();
      if (now >= next_fault) fault(), next_fault = now + 0.6 * roll();
      if (now >= next_purge) issue(), next_purge = now + 0.8 * roll();
      servers_[0]->set_ignores_purges(now > began_ + length_ * 0.3 && now < began_ + length_ * 0.6);
      co_await wait.wait(now + 0.01);
    }
    // Healed: what is down returns, and the last purge must be held and confirmed by all.
    for (auto& r : routers_)
      if (r.stopped_until >= 0) r.stopped_until = scheduler_.now();
    const Seconds healed = scheduler_.now();
    while (scheduler_.now() < healed + 3) {
      look();
      co_await wait.wait(scheduler_.now() + 0.01);
    }
    const pid_t last = spawn({"purge", "--socket", routers_[0].folder + "/control", "tag", "contract1",
                              "--wait", "--within", "20"},
                             routers_[0].folder, folder_ + "/operators");
    int status = 0;
    while (::waitpid(last, &status, WNOHANG) == 0) {
      look();
      co_await wait.wait(scheduler_.now() + 0.01);
    }
    confirmed_ = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    while (std::ranges::any_of(purges_, [](const Purge& p) { return p.pid > 0; })) {
      look();
      co_await wait.wait(scheduler_.now() + 0.01);
    }
    over_ = true;
    co_await wait.wait(scheduler_.now() + 0.2);
    scheduler_.stop();
  }

  // Asks each router's operators' socket again and again until it holds the purge.
  Task time_purges(int count) {
    Event wait(scheduler_);
    began_ = scheduler_.now();
    co_await wait.wait(began_ + 2);
    std::vector<std::unique_ptr<Stream>> sockets;
    for (const auto& r : routers_)
      sockets.push_back(std::make_unique<Stream>(scheduler_, outbox_, dial(r.folder + "/control")));
    const auto line_of = [](Stream& s) {
      const auto at = s.in().find('\n');
      if (at == std::string_view::npos) return std::string();
      std::string line(s.in().substr(0, at));
      s.consume(at + 1);
      return line;
    };
    for (int n = 0; n < count; ++n) {
      const int at = n % kRouters;
      const Seconds issued = scheduler_.now();
      std::string number;
      sockets[at]->write(fmt::format("{{\"do\":\"purge\",\"kind\":\"object\",\"what\":\"{}\"}}\n",
                                     object_name(n % kObjects)));
      bool held = false;
      for (int r = at; !held;) {
        std::string line;
        while ((line = line_of(*sockets[r])).empty()) {
          if (sockets[r]->read() == Stream::Came::nothing) co_await sockets[r]->readable();
        }
        const bool there = line.find("\"ok\":true") != std::string::npos;
        if (number.empty()) {
          const std::string key = "\"issuer\":\"";
          const auto from = line.find(key) + key.size();
          number = line.substr(from, line.find('"', from) - from);
        }
        if (there && (r = (r + 1) % kRouters) == at) held = true;
        if (!held) sockets[r]->write(fmt::format("{{\"do\":\"status\",\"number\":\"{}\"}}\n", number));
      }
      spread_.push_back(scheduler_.now() - issued);
      co_await wait.wait(scheduler_.now() + 0.02);
    }
    over_ = true;
    co_await wait.wait(scheduler_.now() + 0.1);
    scheduler_.stop();
  }

  // What a cut costs: fills and reads of the origin a second, calm and with every router alone.
  Task time_cut() {
    constexpr Seconds kLong = 8;
    Event wait(scheduler_);
    co_await wait.wait(scheduler_.now() + 3);
    for (const bool cut : {false, true, false}) {
      for (const auto& [pair, relay] : relays_) relay->cut(cut ? scheduler_.now() + kLong : 0);
      const auto fills = [&] {
        int count = 0;
        for (const auto& s : servers_) count += s->counts().fills;
        return count;
      };
      const int fills_before = fills(), read_before = origin().counts().origin_reads, answers = answers_,
                refused = refused_;
      co_await wait.wait(scheduler_.now() + kLong);
      std::printf("%s: %.0f answers a second, %d refused, %.1f fills and %.1f reads of the origin a second\n",
                  cut ? "every router alone" : "calm", (answers_ - answers) / kLong, refused_ - refused,
                  (fills() - fills_before) / kLong, (origin().counts().origin_reads - read_before) / kLong);
    }
    over_ = true;
    co_await wait.wait(scheduler_.now() + 0.1);
    scheduler_.stop();
  }

  bool report() {
    const auto accepted = std::ranges::count_if(purges_, [](const Purge& p) { return p.accepted >= 0; });
    std::ifstream log(folder_ + "/log");
    int set_aside = 0;
    for (std::string line; std::getline(log, line);) set_aside += line.find(" old: ") != std::string::npos;
    int fills = 0, joined = 0;
    for (const auto& s : servers_) fills += s->counts().fills, joined += s->counts().joined;
    std::fprintf(stderr,
                 "answers %d, old %d, twice %d, lost %d, refused %d, purges %zu accepted %td, versions "
                 "behind within the delay %d, fills %d, joined %d, liar seen %d, descriptors to %d\n",
                 answers_, old_, twice_, lost_, refused_, purges_.size(), accepted, stale_meanwhile_, fills,
                 joined, set_aside, most_fd_);
    std::printf("answers: %s\n", answers_ > 100 * length_ ? "enough to tell" : "TOO FEW");
    std::printf("past the delay: %s\n", old_ == 0 ? "no old copy" : "OLD COPIES");
    std::printf("final answers: %s\n", twice_ == 0 && lost_ == 0 ? "one each" : "TWICE OR NEVER");
    std::printf("purges: %s\n", accepted > static_cast<std::ptrdiff_t>(purges_.size()) / 3
                                    ? "accepted where they could be"
                                    : "NOT ACCEPTED");
    std::printf("a box that confirmed and answered old: %s\n",
                set_aside > 0 ? "seen, set aside, logged" : "NOT SEEN");
    std::printf("fills under way: %s\n", joined > 0 ? "joined" : "NEVER JOINED");
    std::printf("healed: %s\n",
                confirmed_ ? "every router and box has confirmed the last purge" : "NOT CONFIRMED BY ALL");
    return old_ == 0 && twice_ == 0 && lost_ == 0;
  }

  std::mt19937 chance_;
  const Seconds length_;
  Scheduler scheduler_;
  Outbox outbox_;
  const char* program_ = nullptr;
  fakes::Ports ports_;
  std::string folder_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<Router> routers_;
  std::map<std::pair<int, int>, std::unique_ptr<Relay>> relays_;
  std::vector<Purge> purges_;
  std::vector<Seconds> spread_;
  std::uint64_t txns_ = 0;
  Seconds began_ = 0;
  int answers_ = 0, old_ = 0, twice_ = 0, lost_ = 0, refused_ = 0, stale_meanwhile_ = 0;
  int most_fd_ = 0;
  bool over_ = false, confirmed_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1 && std::strcmp(argv[1], "measure") == 0) return Play(1, 0).measure(300), 0;
  if (argc > 1 && std::strcmp(argv[1], "cut") == 0) return Play(1, 0).measure_cut(), 0;
  return Play(argc > 1 ? static_cast<unsigned>(std::atoi(argv[1])) : 1, argc > 2 ? std::atof(argv[2]) : 20)
                 .run()
             ? 0
             : 1;
}
